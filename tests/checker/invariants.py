"""What must hold at all times, seen from the side of workers and callers only.

The rules are those of the platform's page on rules, "Keys that workers hold". They are
checked strictly: two workers may not hold a key together even for half a second. The
exception of that page counts: a grant that arrives within ``THAW_SLACK_S`` after its
sender was thawed, or after its link healed, and what follows from it, is left out.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from tests.checker.worker import Worker
from tests.checker.worker_events import (
    Event,
    GrantTaken,
    KeysReleased,
    LifeEnded,
    RequestBegun,
    RequestEnded,
)

THAW_SLACK_S = 0.3

Life = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Breach:
    """A broken rule; ``lives`` are the workers that it concerns, the later one first.

    ``lives`` is empty if the rule concerns no pair of workers.
    """

    at: float
    rule: str
    detail: str
    lives: tuple[Life, ...] = ()

    def __str__(self) -> str:
        return f"{self.at:.3f} {self.rule}: {self.detail}"


@dataclass(slots=True)
class HeldRange:
    """Keys that a life holds until ``until``."""

    first: int
    last: int
    fence: int
    until: float


@dataclass(slots=True)
class LifeRecord:
    """What one life of a worker has done.

    ``seen`` are the first key, last key and fence of each grant that it has taken.
    """

    worker: Worker
    has_ended: bool = False
    held: list[HeldRange] = field(default_factory=list)
    seen: set[tuple[int, int, int]] = field(default_factory=set)
    working: dict[str, int] = field(default_factory=dict)


class Observer:
    """Checks each event of each worker as it happens.

    ``is_excused(life, arrived_at)`` returns whether a grant that arrived at that time
    does not count.
    """

    def __init__(self, is_excused: Callable[[Life, float], bool]) -> None:
        self.is_excused = is_excused
        self.lives: dict[Life, LifeRecord] = {}
        self.breaches: list[Breach] = []
        self.excused_grants = 0
        self.grants = 0
        self.requests = 0
        self.highest_fence = 0
        self.highest_fence_at = 0.0

    def add(self, worker: Worker) -> None:
        """Watch a new life."""
        self.lives[worker.life] = LifeRecord(worker)

    def note(self, event: Event) -> None:
        """Check an event against what the other lives have done."""
        record = self.lives[event.life]
        match event:
            case GrantTaken():
                self._note_grant(record, event)
            case KeysReleased(first=first, last=last):
                record.held = _without(record.held, first, last)
            case LifeEnded():
                record.has_ended = True
                record.held = []
                record.working = {}
            case RequestBegun():
                self._note_request(record, event)
            case RequestEnded(request_id=request_id):
                record.working.pop(request_id, None)

    def held_by(self, record: LifeRecord, key: int, at: float) -> HeldRange | None:
        """Return the hold of a key that counts, or None."""
        for held in record.held:
            if held.first <= key <= held.last and held.until > at:
                return held
        return None

    def _note_grant(self, record: LifeRecord, event: GrantTaken) -> None:
        if self.is_excused(event.life, event.arrived_at):
            self.excused_grants += 1
            return
        self.grants += 1
        if event.fence > self.highest_fence:
            self.highest_fence, self.highest_fence_at = event.fence, event.at
        for life, other in self._others(event.life):
            self._check_fence(event, life, other)
            if not other.has_ended:
                other.worker.expire()
                self._check_hold(event, life, other)
        first, last = event.first, event.last
        # A grant that is carried out late shortens no newer one.
        longer = [h for h in record.held if h.until > event.until]
        others = [h for h in record.held if h.until <= event.until]
        record.held = [*longer, *_without(others, first, last)]
        record.held.append(HeldRange(first, last, event.fence, event.until))
        record.seen.add((first, last, event.fence))

    def _check_fence(self, event: GrantTaken, life: Life, other: LifeRecord) -> None:
        for first, last, fence in other.seen:
            if fence >= event.fence and _overlaps(first, last, event):
                key = max(first, event.first)
                self._add(
                    event.at,
                    "fence",
                    f"key {key} went to {event.life} with fence {event.fence}; "
                    f"{life} had it with fence {fence}",
                    (event.life, life),
                )
                return

    def _check_hold(self, event: GrantTaken, life: Life, other: LifeRecord) -> None:
        for held in other.held:
            if held.until > event.at and _overlaps(held.first, held.last, event):
                key = max(held.first, event.first)
                self._add(
                    event.at,
                    "hold",
                    f"key {key} went to {event.life} with fence {event.fence}; "
                    f"{life} holds it with fence {held.fence} until {held.until:.3f}",
                    (event.life, life),
                )
        for request_id, key in other.working.items():
            if event.first <= key <= event.last:
                self._add(
                    event.at,
                    "work",
                    f"key {key} went to {event.life} with fence {event.fence}; "
                    f"{life} is at work on it ({request_id})",
                    (event.life, life),
                )

    def _note_request(self, record: LifeRecord, event: RequestBegun) -> None:
        self.requests += 1
        if self.held_by(record, event.key, event.at) is None:
            # The hold rests on a grant that does not count.
            return
        record.working[event.request_id] = event.key
        for life, other in self._others(event.life):
            if other.has_ended:
                continue
            other.worker.expire()
            is_held = self.held_by(other, event.key, event.at) is not None
            if is_held or event.key in other.working.values():
                self._add(
                    event.at,
                    "request",
                    f"{event.life} began {event.request_id} on key {event.key}, which "
                    f"{life} holds or works on",
                    (event.life, life),
                )

    def _others(self, life: Life) -> list[tuple[Life, LifeRecord]]:
        return [(other, r) for other, r in self.lives.items() if other != life]

    def _add(
        self, at: float, rule: str, detail: str, lives: tuple[Life, ...] = ()
    ) -> None:
        self.breaches.append(Breach(at, rule, detail, lives))


def _overlaps(first: int, last: int, event: GrantTaken) -> bool:
    return first <= event.last and event.first <= last


def _without(held: list[HeldRange], first: int, last: int) -> list[HeldRange]:
    """Return the holds less the keys from ``first`` to ``last``."""
    kept = []
    for h in held:
        if h.last < first or last < h.first:
            kept.append(h)
            continue
        if h.first < first:
            kept.append(HeldRange(h.first, first - 1, h.fence, h.until))
        if last < h.last:
            kept.append(HeldRange(last + 1, h.last, h.fence, h.until))
    return kept
