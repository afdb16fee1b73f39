"""Limits of one endpoint: slots, connections, classes, warm-up and health."""
