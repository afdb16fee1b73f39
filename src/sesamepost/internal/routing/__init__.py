"""The callers' port and the choice of the owner for each request."""
