"""A clock that a test sets forward, as if the process had been stopped meanwhile."""

import time
from types import SimpleNamespace

import pytest

from sesamepost.internal import clock


class StoppableClock:
    """Replaces the clock of ``internal/clock``; ``stop`` adds the time of a stop.

    Timers of the event loop are not affected.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.stopped_s = 0.0
        replaced = SimpleNamespace(
            clock_gettime=self.read, CLOCK_BOOTTIME=time.CLOCK_BOOTTIME
        )
        monkeypatch.setattr(clock, "time", replaced)

    def read(self, number: int) -> float:
        """Return the time of a clock, with all stops."""
        return time.clock_gettime(number) + self.stopped_s

    def stop(self, duration_s: float) -> None:
        """Let the process stand still for ``duration_s`` seconds, right now."""
        self.stopped_s += duration_s
