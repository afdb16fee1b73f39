"""What one life of a worker holds, runs and is to release."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(slots=True)
class Hold:
    """Keys that are held until ``until``."""

    first: int
    last: int
    fence: int
    until: float


class HeldKeys:
    """Holds with their ends, which may overlap, and the fences of all grants."""

    def __init__(self) -> None:
        self.holds: list[Hold] = []
        # First key, last key and fence of all accepted grants. They outlast the holds.
        self.seen: list[tuple[int, int, int]] = []

    def accept(self, first: int, last: int, fence: int) -> bool:
        """Return whether no higher fence was seen on these keys, and record it."""
        for begin, end, seen in self.seen:
            if begin <= last and first <= end and seen > fence:
                return False
        if (first, last, fence) not in self.seen:
            self.seen.append((first, last, fence))
        return True

    def add(self, first: int, last: int, fence: int, until: float) -> None:
        """Hold keys until ``until``; a hold that lasts longer goes on beside it.

        A grant that is carried out late thus shortens no newer one.
        """
        self.drop(first, last, until)
        self.holds.append(Hold(first, last, fence, until))

    def drop(self, first: int, last: int, until: float = math.inf) -> None:
        """End the holds of these keys that would not last longer than ``until``."""
        kept = []
        for h in self.holds:
            if h.until > until or h.last < first or last < h.first:
                kept.append(h)
                continue
            if h.first < first:
                kept.append(Hold(h.first, first - 1, h.fence, h.until))
            if last < h.last:
                kept.append(Hold(last + 1, h.last, h.fence, h.until))
        self.holds = kept

    def until(self, key: int) -> float:
        """Return the end of the longest hold of a key; 0 if there is none."""
        ends = [h.until for h in self.holds if h.first <= key <= h.last]
        return max(ends, default=0.0)

    def take_ended(self, now: float) -> list[Hold]:
        """Remove and return the holds whose time has run out."""
        ended = [h for h in self.holds if h.until <= now]
        if ended:
            self.holds = [h for h in self.holds if h.until > now]
        return ended


@dataclass(slots=True)
class Running:
    """A request at work, which may last until ``until``, when its hold ends."""

    request_id: str
    key: int
    until: float


@dataclass(slots=True)
class Release:
    """A release of keys; ``handover`` is empty while requests on them still run."""

    first: int
    last: int
    fence: int
    handover: str = ""
    on_ready: Callable[[str], None] = field(default=lambda handover: None)
