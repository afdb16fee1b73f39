"""The callers' side of a request: choice of owner, holding and retries."""
