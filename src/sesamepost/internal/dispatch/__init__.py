"""The owner's side of a request: idempotency records and calls to the endpoint."""
