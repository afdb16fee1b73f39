"""Coordination of nodes through a shared store: registration, leases and watches."""
