"""Admission at one endpoint: its slots and a queue in order of urgency."""

import heapq
import itertools
from collections.abc import Hashable
from dataclasses import dataclass, field

from sesamepost.errors import ErrorKind

Ticket = Hashable

# Weight of the newest request in the mean time of its rank.
MEAN_WEIGHT = 0.08
INITIAL_TIME_S = 0.1
BUSY_WINDOW_S = 2.0


@dataclass(slots=True)
class Released:
    """Tickets that may be sent now and tickets that waited too long."""

    started: list[Ticket] = field(default_factory=list)
    expired: list[Ticket] = field(default_factory=list)


@dataclass(slots=True)
class Waiting:
    """A queued request: it is refused unless it starts before ``latest_start``."""

    ticket: Ticket
    rank: int
    latest_start: float


class EndpointGate:
    """Starts requests while slots are free and queues a few in order of urgency.

    The order of ranks is strict: a class of lower urgency gets a slot only when no more
    urgent request waits. Shares by weight, as ``internal/admission`` has them, would
    let a less urgent class be served more often than a more urgent one. Within a rank
    the request that must start first comes first, so that short calls of endpoints,
    whose failure wastes the run behind them, pass long requests.

    All times are in seconds on one clock, and ``now`` is passed in.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.running: dict[Ticket, tuple[int, float]] = {}
        self.queue: list[tuple[int, float, int, Waiting]] = []
        self.queued: dict[Ticket, Waiting] = {}
        self.order = itertools.count()
        self.mean_s: dict[int, float] = {}
        self.busy = 0.0
        self.busy_at = 0.0

    @property
    def overall_mean_s(self) -> float:
        """The mean time of requests of all ranks that were seen."""
        if not self.mean_s:
            return INITIAL_TIME_S
        return sum(self.mean_s.values()) / len(self.mean_s)

    def submit(
        self, ticket: Ticket, rank: int, latest_start: float, now: float
    ) -> ErrorKind | None:
        """Start or queue a request; return why it is refused, or None.

        ``ticket in gate.running`` tells whether it was started.
        """
        if latest_start < now:
            return ErrorKind.DEADLINE_NOT_RUN
        if len(self.running) < self.slots and not self.queued:
            self._start(ticket, rank, now)
            return None
        wait_s = self.expected_wait(rank, latest_start)
        if now + wait_s > latest_start:
            return ErrorKind.OVERLOADED
        waiting = Waiting(ticket, rank, latest_start)
        self.queued[ticket] = waiting
        heapq.heappush(self.queue, (rank, latest_start, next(self.order), waiting))
        return None

    def expected_wait(self, rank: int, latest_start: float) -> float:
        """Return how long a new request would probably be queued."""
        if self.slots == 0:
            return float("inf")
        ahead_s = 0.0
        for waiting in self.queued.values():
            if (waiting.rank, waiting.latest_start) <= (rank, latest_start):
                ahead_s += self._mean(waiting.rank)
        free = self.slots - len(self.running)
        if free > 0 and ahead_s == 0:
            return 0.0
        # On average a running request has half of its time left.
        return (ahead_s + self.overall_mean_s / 2) / self.slots

    def finish(self, ticket: Ticket, now: float, measured: bool = True) -> Released:
        """Free the slot of a started request; return what changes by it."""
        self._note_busy(now)
        rank, started = self.running.pop(ticket)
        if measured:
            mean_s = self.mean_s.get(rank, now - started)
            self.mean_s[rank] = mean_s + MEAN_WEIGHT * (now - started - mean_s)
        return self.poll(now)

    def cancel(self, ticket: Ticket) -> None:
        """Forget a queued request that nobody waits for any more."""
        self.queued.pop(ticket, None)

    def set_slots(self, slots: int, now: float) -> Released:
        """Change the number of slots; running requests go on."""
        self.slots = slots
        return self.poll(now)

    def poll(self, now: float) -> Released:
        """Start what has room and expire what waited too long."""
        released = Released()
        for ticket, waiting in list(self.queued.items()):
            if waiting.latest_start < now:
                del self.queued[ticket]
                released.expired.append(ticket)
        while self.queue and len(self.running) < self.slots:
            rank, _, _, waiting = heapq.heappop(self.queue)
            if self.queued.get(waiting.ticket) is not waiting:
                continue
            del self.queued[waiting.ticket]
            self._start(waiting.ticket, rank, now)
            released.started.append(waiting.ticket)
        return released

    def busy_share(self, now: float) -> float:
        """Return the recent use of the slots, above 1 while requests wait."""
        self._note_busy(now)
        return self.busy

    def _mean(self, rank: int) -> float:
        return self.mean_s.get(rank, self.overall_mean_s)

    def _start(self, ticket: Ticket, rank: int, now: float) -> None:
        self._note_busy(now)
        self.running[ticket] = (rank, now)

    def _note_busy(self, now: float) -> None:
        elapsed = now - self.busy_at
        self.busy_at = now
        load = (len(self.running) + len(self.queued)) / max(1, self.slots)
        weight = min(1.0, elapsed / BUSY_WINDOW_S)
        self.busy += weight * (load - self.busy)
