"""Read-only copies of the store's documents on every daemon."""
