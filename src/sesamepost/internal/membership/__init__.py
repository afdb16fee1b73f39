"""Fleet membership: the fleet document, joining, witness choice and lease tasks."""
