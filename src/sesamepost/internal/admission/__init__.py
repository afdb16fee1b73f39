"""Admission to one endpoint: slots, class queues, cold-start ramp and health."""
