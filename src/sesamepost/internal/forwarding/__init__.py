"""Forwarding of requests from callers to endpoints, routed by host and path."""
