"""Replication of the store's documents to read-only copies on every daemon."""
