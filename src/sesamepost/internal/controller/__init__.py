"""The one duty that a single daemon has at a time: changing fleet and assignments."""
