"""Leases from witnesses: the holder, the witness and fencing."""
