"""Ownership of key ranges by endpoints that support holds and fences."""
