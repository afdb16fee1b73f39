"""Measures the cost of control at several sizes and states it at the design size."""

from sesamepost.tools.capacity.command import main

__all__ = ["main"]
