"""The path of a request between callers and endpoints, for routes by host and path."""
