"""Ownership of ranges of keys, for endpoints that take holds with fences."""
