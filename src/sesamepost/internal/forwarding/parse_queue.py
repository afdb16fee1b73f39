"""Spreads the parsing of answers over turns of the event loop."""

import asyncio
from collections import deque
from collections.abc import Callable

# In each window, answers are parsed when they arrive until this time is used up.
WINDOW_S = 0.010
MAX_TIME_IN_WINDOW_S = 0.005
# The longest time for which a part is parsed. A head is parsed as a whole.
MAX_PART_S = 0.001


class ParseQueue:
    """Lets answers be parsed at once while that takes little time, and in parts else.

    In each turn of the event loop, one part of one waiting answer is parsed.
    """

    __slots__ = ("is_scheduled", "used_s", "waiting", "window_started_at")

    def __init__(self) -> None:
        self.waiting: deque[Callable[[], None]] = deque()
        self.is_scheduled = False
        self.window_started_at = 0.0
        self.used_s = 0.0

    def is_busy(self, now: float) -> bool:
        """Return whether the next part has to wait for its turn."""
        if now - self.window_started_at >= WINDOW_S:
            self.window_started_at = now
            self.used_s = 0.0
        return self.used_s >= MAX_TIME_IN_WINDOW_S or bool(self.waiting)

    def note_parsed(self, time_s: float) -> None:
        """Count the time that a part took."""
        self.used_s += time_s

    def add(self, parse: Callable[[], None]) -> None:
        """Call ``parse`` in a later turn of the event loop."""
        self.waiting.append(parse)
        self._schedule()

    def _schedule(self) -> None:
        if self.waiting and not self.is_scheduled:
            self.is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_next)

    def _run_next(self) -> None:
        self.is_scheduled = False
        parse = self.waiting.popleft()
        self._schedule()
        parse()
