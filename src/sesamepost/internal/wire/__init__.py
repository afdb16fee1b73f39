"""Connections between daemons that carry msgpack messages."""
