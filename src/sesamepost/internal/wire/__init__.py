"""Streams of msgpack messages between daemons."""
