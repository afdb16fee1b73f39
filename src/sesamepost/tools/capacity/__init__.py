"""Measure the control plane's cost at several sizes and state it at the design size."""

from sesamepost.tools.capacity.command import main

__all__ = ["main"]
