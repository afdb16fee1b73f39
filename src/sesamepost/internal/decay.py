"""Sums over recent time with exponential decay."""

import math


class DecayingSum:
    """A sum over about the last ``window_s`` seconds, with exponential decay."""

    __slots__ = ("counted_at", "value", "window_s")

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.value = 0.0
        self.counted_at = 0.0

    def add(self, now: float, value: float = 1.0) -> None:
        """Add ``value`` at the time ``now``."""
        self.value = self.at(now) + value
        self.counted_at = now

    def at(self, now: float) -> float:
        """Return the sum at the time ``now``; older values weigh less."""
        return self.value * math.exp(-(now - self.counted_at) / self.window_s)
