"""Measure the cost of the control plane at several sizes up to the design size."""

from sesamepost.tools.capacity.command import main

__all__ = ["main"]
