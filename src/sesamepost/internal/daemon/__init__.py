"""Assembles and runs the daemon."""
