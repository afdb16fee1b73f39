"""The controller, the one elected daemon that changes the fleet and assignments."""
