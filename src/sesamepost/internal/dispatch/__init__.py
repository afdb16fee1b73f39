"""Request handling on the owner: idempotency records and calls to the endpoint."""
