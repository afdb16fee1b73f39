"""Implementation of the daemon and the command-line tool; not a public API."""
