"""Admission control for one endpoint: its slots and a queue ordered by urgency."""

from collections.abc import Hashable
from dataclasses import dataclass, field

from sesamepost.errors import ErrorKind
from sesamepost.internal.forwarding.capacity import (
    INITIAL_TIME_S,
    MEAN_WEIGHT,
    MIN_TIME_S,
    CapacityEstimate,
    SpeedEstimate,
)
from sesamepost.internal.forwarding.cold import MAX_QUEUE_S, ColdLimit

Ticket = Hashable

BUSY_WINDOWS_S = (1.0, 3.0)
# A request that will be late is queued for at most this share of its remaining time.
LATE_WAIT_SHARE = 0.5


@dataclass(slots=True)
class Dequeued:
    """Tickets that left the queue: to be sent now, or expired."""

    started: list[Ticket] = field(default_factory=list)
    expired: list[Ticket] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class RunningRequest:
    """A started request, which was the ``in_flight``-th at its start."""

    kind: str
    started_at: float
    in_flight: int


@dataclass(slots=True)
class QueuedRequest:
    """A request that waits for a slot.

    It meets its target latency if it starts before ``target_start``, and is refused
    unless it starts before ``latest_start``.
    """

    ticket: Ticket
    kind: str
    rank: int
    target_start: float
    latest_start: float

    def sort_key(self, now: float) -> tuple[int, bool, float]:
        """Return the key that orders the queue, lowest first.

        Requests that can still be in time sort before those that will be late anyway.
        """
        is_late = self.target_start < now
        start = self.latest_start if is_late else self.target_start
        return self.rank, is_late, start


class EndpointGate:
    """Starts requests while slots are free and queues a few in order of urgency.

    Ranks have strict priority: a request gets a slot only when none of a more urgent
    rank is queued. Weighted shares as in ``internal/admission`` could serve a less
    urgent class more often than a more urgent one. Within a rank, the request that must
    start first goes first. Short calls made by endpoints therefore overtake long
    requests; if such a call fails, the work of the request that made it is wasted.
    Requests that will be late get the remaining slots.

    All times are in seconds on one clock, and ``now`` is passed in. ``cold`` limits the
    starts at an endpoint that is cold. ``slots`` is the number of requests in flight
    that the endpoint takes well, at most what it states.
    """

    def __init__(self, slots: int, cold: ColdLimit | None = None) -> None:
        self.capacity = CapacityEstimate()
        self.capacity.set_slots(slots)
        self.speed = SpeedEstimate()
        self.slots = slots
        self.cold = cold or ColdLimit(float("-inf"))
        self.running: dict[Ticket, RunningRequest] = {}
        self.queued: dict[Ticket, QueuedRequest] = {}
        self.recent_mean_s = INITIAL_TIME_S
        # The sum of the usual times of all finished requests.
        self.work_s = 0.0
        self.busy = {window_s: 0.0 for window_s in BUSY_WINDOWS_S}
        self.busy_updated_at = 0.0

    def expected_time(self, kind: str) -> float:
        """Return the mean time of a request of ``kind`` at the endpoint."""
        time_s = self.speed.expected_time(kind)
        return self.recent_mean_s if time_s is None else time_s

    def mean_time(self, kind: str) -> float:
        """Return the mean time of a request of ``kind``, which changes slowly."""
        time_s = self.speed.mean_time(kind)
        return self.recent_mean_s if time_s is None else time_s

    def submit(self, waiting: QueuedRequest, now: float) -> ErrorKind | None:
        """Start or queue a request; return the reason if it is refused, or None.

        Requests of one ``kind`` are expected to take about the same time. Check
        ``ticket in gate.running`` to see whether the request was started.
        """
        if waiting.latest_start < now:
            return ErrorKind.DEADLINE_NOT_RUN
        if not self.queued and self._may_start(now):
            self._start(waiting, now)
            return None
        wait_s = self.expected_wait(waiting, now)
        if self.cold.is_cold(now) and wait_s > MAX_QUEUE_S:
            return ErrorKind.OVERLOADED
        if now + wait_s > waiting.target_start:
            # The request will be late. A long wait for a late answer is of no use.
            waiting.target_start = now - 1.0
            wait_s = self.expected_wait(waiting, now)
            if wait_s > LATE_WAIT_SHARE * (waiting.latest_start - now):
                return ErrorKind.OVERLOADED
        self.queued[waiting.ticket] = waiting
        return None

    def expected_wait(self, new: QueuedRequest, now: float) -> float:
        """Return the expected time of a new request in the queue."""
        if self.slots == 0:
            return float("inf")
        new_key = new.sort_key(now)
        ahead = 0
        ahead_s = 0.0
        for waiting in self.queued.values():
            if waiting.sort_key(now) <= new_key:
                ahead += 1
                ahead_s += self.expected_time(waiting.kind)
        cold_wait_s = self.cold.wait_s(ahead, now)
        if len(self.running) < self.slots and ahead == 0:
            return cold_wait_s
        # On average, half of the time of a running request remains.
        return max(cold_wait_s, (ahead_s + self.recent_mean_s / 2) / self.slots)

    def finish(
        self,
        ticket: Ticket,
        now: float,
        record_time: bool = True,
        stated_pace: float = 1.0,
    ) -> Dequeued:
        """Free the slot of a started request; return tickets that leave the queue.

        ``stated_pace`` is how long work takes on the endpoint's VM, as it says.
        """
        self._update_busy(now)
        done = self.running.pop(ticket)
        if record_time:
            self.capacity.note_answered(done.in_flight, now)
            self._record_time(done, stated_pace, now)
        else:
            self.speed.note_unfinished(done.kind, now - done.started_at, now)
        self.follow(now)
        return self.poll(now)

    def follow(self, now: float) -> None:
        """Follow the speed of the endpoint and the number that it takes well."""
        running = self.running.values()
        self.speed.update([(r.kind, now - r.started_at) for r in running], now)
        is_full = bool(self.queued) and not self.cold.is_cold(now)
        self.capacity.update(is_full, self.work_s, self.recent_mean_s, now)
        self.slots = self.capacity.limit

    def cancel(self, ticket: Ticket) -> None:
        """Remove a request from the queue if it is still there."""
        self.queued.pop(ticket, None)

    def set_slots(self, slots: int, now: float) -> Dequeued:
        """Change the number of slots; running requests continue."""
        self.capacity.set_slots(slots)
        self.slots = self.capacity.limit
        return self.poll(now)

    def poll(self, now: float) -> Dequeued:
        """Start requests in free slots; expire those that cannot start in time.

        A request is given up as soon as those before it leave it no time, so that its
        caller can return while there is time. If the endpoint is cold, requests that
        would wait too long expire as well.
        """
        dequeued = Dequeued()
        for ticket, waiting in list(self.queued.items()):
            if waiting.latest_start < now:
                del self.queued[ticket]
                dequeued.expired.append(ticket)
        while self.queued and self._may_start(now):
            waiting = min(self.queued.values(), key=lambda w: w.sort_key(now))
            del self.queued[waiting.ticket]
            self._start(waiting, now)
            dequeued.started.append(waiting.ticket)
        dequeued.expired += self._drop_unstartable(now)
        dequeued.expired += self._drop_excess(now)
        return dequeued

    def busy_share(self, window_s: float, now: float) -> float:
        """Return the usage of the slots over one of ``BUSY_WINDOWS_S``.

        Queued requests count too, so the value may exceed 1.
        """
        self._update_busy(now)
        return self.busy[window_s]

    def _record_time(
        self, done: RunningRequest, stated_pace: float, now: float
    ) -> None:
        time_s = max(MIN_TIME_S, now - done.started_at)
        self.speed.note_time(done.kind, time_s, stated_pace, now)
        self.work_s += self.speed.usual_s[done.kind]
        # Very short requests say nothing about the duration of the others.
        weight = MEAN_WEIGHT * min(1.0, time_s / max(self.recent_mean_s, MIN_TIME_S))
        self.recent_mean_s += weight * (time_s - self.recent_mean_s)

    def _may_start(self, now: float) -> bool:
        return len(self.running) < self.slots and self.cold.may_start(now)

    def _drop_unstartable(self, now: float) -> list[Ticket]:
        """Remove what cannot start in time behind the others; return the tickets.

        The rest of the running requests is left out, so only certain cases are removed.
        """
        dropped = []
        ahead_s = 0.0
        for waiting in sorted(self.queued.values(), key=lambda w: w.sort_key(now)):
            if now + ahead_s / max(1, self.slots) > waiting.latest_start:
                del self.queued[waiting.ticket]
                dropped.append(waiting.ticket)
                continue
            ahead_s += self.expected_time(waiting.kind)
        return dropped

    def _drop_excess(self, now: float) -> list[Ticket]:
        """Remove what a cold endpoint cannot start soon; return the tickets."""
        limit = self.cold.max_queued(now)
        if limit is None or len(self.queued) <= limit:
            return []
        in_order = sorted(self.queued.values(), key=lambda w: w.sort_key(now))
        excess = [waiting.ticket for waiting in in_order[limit:]]
        for ticket in excess:
            del self.queued[ticket]
        return excess

    def _start(self, waiting: QueuedRequest, now: float) -> None:
        self._update_busy(now)
        self.cold.note_start(now)
        in_flight = len(self.running) + 1
        self.running[waiting.ticket] = RunningRequest(waiting.kind, now, in_flight)

    def _update_busy(self, now: float) -> None:
        elapsed = now - self.busy_updated_at
        self.busy_updated_at = now
        # A number that is only tried must not look like a change of the load.
        slots = self.capacity.settled_limit
        load = (len(self.running) + len(self.queued)) / max(1, slots)
        for window_s, busy in self.busy.items():
            weight = min(1.0, elapsed / window_s)
            self.busy[window_s] = busy + weight * (load - busy)
