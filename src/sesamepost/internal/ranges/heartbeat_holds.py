"""Holds that an endpoint takes with the answers to its heartbeats.

Some endpoints accept no calls that grant or release keys. Each of their heartbeats
reports the ranges that they hold, and the answer orders all ranges that they are to
hold from then on. They release what the answer leaves out, and report that with the
next heartbeat.

What is known of the holds at each moment:

- An answer counts from when the heartbeat was sent, at most ``ANSWER_TIMEOUT_S`` before
  it arrives. So the endpoint holds the ranges for at least ``hold_s`` less that time,
  and for at most ``hold_s`` after the answer, on a clock that may run slow.
- An answer that is lost or late has no effect. As holds are several times longer than
  the interval between heartbeats, one or two such answers interrupt no service.
- A heartbeat that was sent after the endpoint had read the last answer reports exactly
  what it holds. A range that is absent from it is free.
"""

import asyncio
from collections.abc import Collection
from dataclasses import dataclass

from sesamepost.internal.ranges.hold_times import (
    MARGIN_S,
    MIN_HOLD_S,
    hold_end,
    hold_s_until,
)
from sesamepost.internal.ranges.holds import Hold, HoldTracker
from sesamepost.internal.ranges.table import KeyRange, uncovered

# The endpoint ignores an answer that arrives later than this.
ANSWER_TIMEOUT_S = 1.0
# Time until an endpoint on the same VM has read an answer and holds its ranges.
ANSWER_DELAY_S = 0.01
# Endpoints ignore answers of more than 4 KiB.
MAX_ORDER_BYTES = 3800
ROW_BYTES = 32
# An ordered range that as many reports lack has a fence that the endpoint refuses.
MAX_MISSING_REPORTS = 2


@dataclass(frozen=True, slots=True)
class HeldRange:
    """A range that the endpoint holds or on which it still works."""

    first: int
    last: int
    fence: int


@dataclass(frozen=True, slots=True)
class ReleasedRange:
    """A range that the endpoint has released, and its handover token."""

    first: int
    last: int
    handover: str


@dataclass(frozen=True, slots=True)
class HoldReport:
    """What one heartbeat says about holds.

    ``follows_answer`` says that the endpoint certainly sent it after it had read or
    given up the last answer.
    """

    held: tuple[HeldRange, ...]
    released: tuple[ReleasedRange, ...]
    follows_answer: bool


@dataclass(frozen=True, slots=True)
class OrderedRange:
    """A range that the endpoint is to hold; ``handover`` is empty if there is none."""

    first: int
    last: int
    fence: int
    handover: str


@dataclass(frozen=True, slots=True)
class HoldOrder:
    """All ranges that the endpoint is to hold, for ``hold_s`` from its heartbeat."""

    ranges: tuple[OrderedRange, ...]
    hold_s: float


class PendingRelease:
    """A release that waits for reports of the endpoint."""

    __slots__ = ("done", "first", "last", "released")

    def __init__(self, first: int, last: int) -> None:
        self.first = first
        self.last = last
        self.released: list[ReleasedRange] = []
        self.done: asyncio.Future[str] = asyncio.get_running_loop().create_future()

    def token(self) -> str:
        """Return the handover token, or an empty string if no token covers all keys."""
        for r in self.released:
            if r.first <= self.first and self.last <= r.last:
                return r.handover
        return ""


class HeartbeatHolds:
    """Turns the holds of a ``HoldTracker`` into orders and reports into holds.

    >>> from sesamepost.internal.ranges.table import KeyRange
    >>> holds = HoldTracker()
    >>> holds.set_ranges([KeyRange(0, 9, None, 3, "token")], now=0.0)
    >>> HeartbeatHolds().order(holds, [], may_grant_until=5.0, now=0.0).ranges
    (OrderedRange(first=0, last=9, fence=3, handover='token'),)
    """

    def __init__(self) -> None:
        self.releases: list[PendingRelease] = []
        # Number of reports in a row that lack an ordered range, by range and fence.
        self.missing: dict[tuple[int, int, int], int] = {}
        # The ranges that did not fit into the last order.
        self.left_out: list[KeyRange] = []

    async def release(self, first: int, last: int) -> str:
        """Wait until the endpoint has released the keys; return the handover token."""
        release = PendingRelease(first, last)
        self.releases.append(release)
        try:
            return await release.done
        finally:
            self.releases.remove(release)

    def note_report(self, holds: HoldTracker, report: HoldReport, now: float) -> None:
        """Update ``holds`` and the pending releases by a report."""
        for hold in [*holds.holds.values(), *holds.past]:
            self._note_hold(hold, report)
        held = [(r.first, r.last) for r in report.held]
        holds.note_report(held, report.follows_answer, now)
        for release in self.releases:
            is_ordered = (release.first, release.last) in holds.released_keys
            _note_release(release, report, is_ordered)

    def _note_hold(self, hold: Hold, report: HoldReport) -> None:
        key_range = hold.key_range
        first, last, fence = key_range.first, key_range.last, key_range.fence
        overlapping = [r for r in report.held if hold.overlaps(r.first, r.last)]
        if any(r.fence > fence for r in overlapping):
            hold.is_refused = True
            hold.certain_until = 0.0
        key = first, last, fence
        if any(r.fence == fence for r in overlapping):
            self.missing.pop(key, None)
            return
        if not report.follows_answer or key not in self.missing:
            return
        hold.certain_until = 0.0
        self.missing[key] += 1
        if self.missing[key] >= MAX_MISSING_REPORTS:
            hold.is_refused = True

    def order(
        self,
        holds: HoldTracker,
        moving: Collection[tuple[int, int]],
        may_grant_until: float,
        now: float,
    ) -> HoldOrder | None:
        """Return the order for the answer to a heartbeat, or None to renew nothing.

        ``moving`` are key ranges that are to be released.
        """
        hold_s = min(hold_s_until(may_grant_until, now), holds.max_hold_s)
        if hold_s < MIN_HOLD_S:
            return None
        holds.released_keys = tuple(moving)
        ranges: list[OrderedRange] = []
        room = MAX_ORDER_BYTES
        ordered = set()
        self.left_out = []
        # The endpoint would release a held range that is left out, so these come first.
        for hold in sorted(holds.holds.values(), key=lambda h: h.certain_until <= now):
            if not hold.is_grantable:
                continue
            pieces = _pieces(hold, moving, now)
            if not pieces:
                continue
            size = sum(ROW_BYTES + len(piece.handover) for piece in pieces)
            if size > room:
                self.left_out.append(hold.key_range)
                continue
            room -= size
            ranges += pieces
            key_range = hold.key_range
            ordered.add((key_range.first, key_range.last, key_range.fence))
            _note_ordered(hold, hold_s, now)
            if not any(hold.overlaps(first, last) for first, last in moving):
                hold.was_released = False
        self.missing = {
            key: self.missing.get(key, 0) for key in ordered if _is_whole(key, moving)
        }
        return HoldOrder(tuple(ranges), hold_s)


def _note_release(
    release: PendingRelease, report: HoldReport, is_ordered: bool
) -> None:
    """End a release if the last answer left its keys out and none is held."""
    first, last = release.first, release.last
    release.released += [
        r for r in report.released if r.first <= last and first <= r.last
    ]
    is_held = any(r.first <= last and first <= r.last for r in report.held)
    is_proved = report.follows_answer or release.token()
    if is_ordered and is_proved and not is_held and not release.done.done():
        release.done.set_result(release.token())


def _pieces(
    hold: Hold, moving: Collection[tuple[int, int]], now: float
) -> list[OrderedRange]:
    """Return the parts of a hold that do not move."""
    key_range = hold.key_range
    handover = key_range.handover if hold.certain_until <= now else ""
    return [
        OrderedRange(first, last, key_range.fence, handover)
        for first, last in uncovered(key_range.first, key_range.last, moving)
    ]


def _note_ordered(hold: Hold, hold_s: float, now: float) -> None:
    if hold.certain_until <= now:
        hold.certain_from = now + ANSWER_DELAY_S
    hold.certain_until = now + hold_s - ANSWER_TIMEOUT_S - MARGIN_S
    hold.note_possible(hold_end(hold_s, now))


def _is_whole(key: tuple[int, int, int], moving: Collection[tuple[int, int]]) -> bool:
    return not any(begin <= key[1] and key[0] <= end for begin, end in moving)
