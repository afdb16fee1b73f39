"""Limits of one endpoint: slots, queues of classes, cold start and health."""
