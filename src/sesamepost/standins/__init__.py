"""Small stand-ins for the systems around the router, for tests and trials."""
