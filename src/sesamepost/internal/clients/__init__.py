"""Bounds what HTTP clients can make a server hold: memory, connections and time."""
