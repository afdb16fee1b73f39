"""Admission at one endpoint: its slots and a queue in order of urgency."""

from collections.abc import Hashable
from dataclasses import dataclass, field

from sesamepost.errors import ErrorKind

Ticket = Hashable

# Weight of the newest request in the mean time of its kind.
MEAN_WEIGHT = 0.08
INITIAL_TIME_S = 0.1
MIN_MEAN_S = 0.001
BUSY_WINDOWS_S = (1.0, 3.0)
# A request that will be late is queued for this part of the time that it has.
LATE_WAIT_SHARE = 0.5
# The operator may add hundreds of routes.
MAX_KINDS = 1000


@dataclass(slots=True)
class Dequeued:
    """Tickets that may be sent now and tickets that waited too long."""

    started: list[Ticket] = field(default_factory=list)
    expired: list[Ticket] = field(default_factory=list)


@dataclass(slots=True)
class QueuedRequest:
    """A queued request.

    It is worth most if it starts before ``target_start``, and is refused unless it
    starts before ``latest_start``.
    """

    ticket: Ticket
    kind: str
    rank: int
    target_start: float
    latest_start: float

    def sort_key(self, now: float) -> tuple[int, bool, float]:
        """Return the place in the queue, the lowest first.

        What can still be in time comes before what will be late in any case.
        """
        is_late = self.target_start < now
        start = self.latest_start if is_late else self.target_start
        return self.rank, is_late, start


class EndpointGate:
    """Starts requests while slots are free and queues a few in order of urgency.

    The order of ranks is strict: a class of lower urgency gets a slot only when no more
    urgent request waits. Shares by weight, as ``internal/admission`` has them, would
    let a less urgent class be served more often than a more urgent one. Within a rank
    the request that must start first comes first, so that short calls of endpoints,
    whose failure wastes the run behind them, pass long requests. Requests that will be
    late get what room is left.

    All times are in seconds on one clock, and ``now`` is passed in.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.running: dict[Ticket, tuple[str, float]] = {}
        self.queued: dict[Ticket, QueuedRequest] = {}
        self.mean_s: dict[str, float] = {}
        self.recent_mean_s = INITIAL_TIME_S
        self.busy = {window_s: 0.0 for window_s in BUSY_WINDOWS_S}
        self.busy_updated_at = 0.0

    def expected_time(self, kind: str) -> float:
        """Return the mean time of a request of ``kind`` at the endpoint."""
        return self.mean_s.get(kind, self.recent_mean_s)

    def submit(self, waiting: QueuedRequest, now: float) -> ErrorKind | None:
        """Start or queue a request; return why it is refused, or None.

        Requests of one ``kind`` take about the same time. ``ticket in gate.running``
        tells whether it was started.
        """
        if waiting.latest_start < now:
            return ErrorKind.DEADLINE_NOT_RUN
        if len(self.running) < self.slots and not self.queued:
            self._start(waiting, now)
            return None
        wait_s = self.expected_wait(waiting, now)
        if now + wait_s > waiting.target_start:
            # It will be late. A long wait for a late answer helps nobody.
            waiting.target_start = now - 1.0
            wait_s = self.expected_wait(waiting, now)
            if wait_s > LATE_WAIT_SHARE * (waiting.latest_start - now):
                return ErrorKind.OVERLOADED
        self.queued[waiting.ticket] = waiting
        return None

    def expected_wait(self, new: QueuedRequest, now: float) -> float:
        """Return how long a new request would probably be queued."""
        if self.slots == 0:
            return float("inf")
        new_key = new.sort_key(now)
        ahead_s = 0.0
        for waiting in self.queued.values():
            if waiting.sort_key(now) <= new_key:
                ahead_s += self.expected_time(waiting.kind)
        if len(self.running) < self.slots and ahead_s == 0:
            return 0.0
        # On average a running request has half of its time left.
        return (ahead_s + self.recent_mean_s / 2) / self.slots

    def finish(self, ticket: Ticket, now: float, record_time: bool = True) -> Dequeued:
        """Free the slot of a started request; return what changes by it."""
        self._update_busy(now)
        kind, started = self.running.pop(ticket)
        if record_time:
            self._record_time(kind, now - started)
        return self.poll(now)

    def cancel(self, ticket: Ticket) -> None:
        """Forget a queued request that nobody waits for any more."""
        self.queued.pop(ticket, None)

    def set_slots(self, slots: int, now: float) -> Dequeued:
        """Change the number of slots; running requests go on."""
        self.slots = slots
        return self.poll(now)

    def poll(self, now: float) -> Dequeued:
        """Start what has room and expire what waited too long."""
        dequeued = Dequeued()
        for ticket, waiting in list(self.queued.items()):
            if waiting.latest_start < now:
                del self.queued[ticket]
                dequeued.expired.append(ticket)
        while self.queued and len(self.running) < self.slots:
            waiting = min(self.queued.values(), key=lambda w: w.sort_key(now))
            del self.queued[waiting.ticket]
            self._start(waiting, now)
            dequeued.started.append(waiting.ticket)
        return dequeued

    def busy_share(self, window_s: float, now: float) -> float:
        """Return the use of the slots in one of ``BUSY_WINDOWS_S``.

        It is above 1 while requests wait.
        """
        self._update_busy(now)
        return self.busy[window_s]

    def _record_time(self, kind: str, time_s: float) -> None:
        if kind not in self.mean_s and len(self.mean_s) >= MAX_KINDS:
            self.mean_s.clear()
        mean_s = self.mean_s.get(kind, time_s)
        self.mean_s[kind] = mean_s + MEAN_WEIGHT * (time_s - mean_s)
        # Requests that take next to no time say nothing of how long the others take.
        weight = MEAN_WEIGHT * min(1.0, time_s / max(self.recent_mean_s, MIN_MEAN_S))
        self.recent_mean_s += weight * (time_s - self.recent_mean_s)

    def _start(self, waiting: QueuedRequest, now: float) -> None:
        self._update_busy(now)
        self.running[waiting.ticket] = (waiting.kind, now)

    def _update_busy(self, now: float) -> None:
        elapsed = now - self.busy_updated_at
        self.busy_updated_at = now
        load = (len(self.running) + len(self.queued)) / max(1, self.slots)
        for window_s, busy in self.busy.items():
            weight = min(1.0, elapsed / window_s)
            self.busy[window_s] = busy + weight * (load - busy)
