"""Node leases renewed by witnesses, and the fencing of nodes without a lease."""
