"""Builds the running daemon from its settings."""
