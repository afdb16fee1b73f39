"""Queues requests to one endpoint and decides when each of them is sent.

The limits are strict: ``EndpointAdmission`` never lets more requests run than the
endpoint has slots. Classes share the slots by weight, so that a flood of requests in
one class does not starve the others.
"""

import heapq
import itertools
import math
from collections import OrderedDict
from collections.abc import Hashable, Sequence
from dataclasses import dataclass, field

from expression import Error, Ok, Result

from sesamepost.errors import ErrorKind
from sesamepost.internal.settings.model import ClassSettings

# Weight of the newest request in the moving average of the service time, which then
# reflects about the last 20 requests.
MEAN_WEIGHT = 0.1
# Assumed until the first request of a class has finished.
INITIAL_SERVICE_TIME_S = 0.01
# Keeps the cost of a request above 0 if the clock has a low resolution.
MIN_SERVICE_TIME_S = 1e-4
# A class of short requests is idle for moments between them. Without this reservation,
# long requests of another class would take its slots whenever that happens.
SHARE_RESERVATION_S = 0.5

Ticket = Hashable


@dataclass(slots=True)
class AdmissionChanges:
    """Requests that may be sent now and requests whose deadline passed in the queue.

    The caller answers the expired ones with ``deadline_not_run``.
    """

    started: list[Ticket] = field(default_factory=list)
    expired: list[Ticket] = field(default_factory=list)


@dataclass(slots=True)
class RequestClass:
    """The queue and the counts of one class.

    ``queue`` maps tickets to deadlines in order of arrival. ``share`` is the number of
    slots that the class is entitled to. ``deficit`` is the slot time in seconds that
    the class may still use in its turn. ``peak`` is the highest number of queued and
    running requests since the class was last idle for ``SHARE_RESERVATION_S``.
    """

    name: str
    weight: int
    queue: OrderedDict[Ticket, float] = field(default_factory=OrderedDict)
    running: int = 0
    share: int = 0
    deficit: float = 0.0
    service_time_s: float = INITIAL_SERVICE_TIME_S
    measured: bool = False
    peak: int = 0
    reserved_until: float = -math.inf

    @property
    def has_work(self) -> bool:
        """Whether a request of the class is queued or running."""
        return bool(self.queue) or self.running > 0

    def record_arrival(self, now: float) -> None:
        """Update the peak for a request that is about to be queued or started."""
        if not self.has_work and now >= self.reserved_until:
            self.peak = 0
        self.peak = max(self.peak, self.running + len(self.queue) + 1)

    def reserved_slots(self, now: float) -> int:
        """Return the number of free slots that no other class may use.

        While the class has work, this is the unused part of its share. For
        ``SHARE_RESERVATION_S`` after that, it is as much of the share as the class has
        needed at its peak.
        """
        if self.has_work:
            return max(0, self.share - self.running)
        if now >= self.reserved_until:
            return 0
        return min(self.share, self.peak)

    @property
    def queued_work_s(self) -> float:
        """The estimated slot time of the queued requests, in seconds."""
        return len(self.queue) * self.service_time_s

    def measure(self, service_time_s: float) -> None:
        """Add a finished request to the moving average of the service time."""
        service_time_s = max(service_time_s, MIN_SERVICE_TIME_S)
        if not self.measured:
            self.measured = True
            self.service_time_s = service_time_s
        self.service_time_s += MEAN_WEIGHT * (service_time_s - self.service_time_s)


class EndpointAdmission:
    """Decides which requests of one service are sent to an endpoint, in which order.

    A request is identified by a ticket, which is any hashable value. ``now`` and
    deadlines are in seconds on the same clock. ``queue_length`` limits the queue of
    each class separately, because a flood of one class would otherwise fill a common
    queue. An empty class name means the first class.

    While a class is idle, the others may use its slots, except that the slots it needed
    stay reserved for ``SHARE_RESERVATION_S``.
    """

    def __init__(
        self,
        slots: int,
        connections: int,
        queue_length: int,
        classes: Sequence[ClassSettings] = (ClassSettings("default"),),
    ) -> None:
        if not classes or any(c.weight < 1 for c in classes):
            raise ValueError(
                f"need at least one class, each of weight 1 or more, not {classes}"
            )
        self.queue_length = queue_length
        self.classes = [RequestClass(c.name, c.weight) for c in classes]
        self.classes_by_name = {c.name: c for c in self.classes}
        self.classes_by_name.setdefault("", self.classes[0])
        self.running: dict[Ticket, tuple[RequestClass, float]] = {}
        self.queued: dict[Ticket, RequestClass] = {}
        self.deadlines: list[tuple[float, int, Ticket]] = []
        self.sequence = itertools.count()
        self.turn = 0
        self.turn_started = False
        self.limit = 0
        self._set_limit(slots, connections)

    def next_poll(self, now: float) -> float | None:
        """Return when ``poll`` must be called if nothing else happens earlier.

        At that time a queued request expires, or slots reserved for an idle class
        become available to the others. Returns None if no request is queued.
        """
        if not self.queued:
            return None
        times = [self.deadlines[0][0]]
        times += [
            c.reserved_until
            for c in self.classes
            if not c.has_work and c.reserved_slots(now)
        ]
        return min(times)

    def submit(
        self, ticket: Ticket, class_name: str, deadline: float, now: float
    ) -> Result[bool, ErrorKind]:
        """Start a request (True), queue it (False) or return why it is refused.

        A refused request has not run.
        """
        if ticket in self.running or ticket in self.queued:
            raise ValueError(f"ticket {ticket!r} has already been submitted")
        request_class = self.classes_by_name.get(class_name)
        if request_class is None:
            return Error(ErrorKind.UNKNOWN_CLASS)
        if deadline <= now:
            return Error(ErrorKind.DEADLINE_NOT_RUN)
        if not request_class.queue and self._may_start(request_class, now):
            request_class.record_arrival(now)
            self._start(ticket, request_class, now)
            return Ok(True)
        if len(request_class.queue) >= self.queue_length:
            return Error(ErrorKind.OVERLOADED)
        if self.expected_wait(request_class.name) > deadline - now:
            return Error(ErrorKind.OVERLOADED)
        request_class.record_arrival(now)
        request_class.queue[ticket] = deadline
        self.queued[ticket] = request_class
        self._push_deadline(ticket, deadline)
        return Ok(False)

    def finish(
        self, ticket: Ticket, now: float, measured: bool = True
    ) -> AdmissionChanges:
        """Free the slot of a started request.

        ``measured`` is False if the duration says nothing about the service time, for
        example because no connection could be opened.
        """
        request_class, started = self.running.pop(ticket)
        request_class.running -= 1
        request_class.reserved_until = now + SHARE_RESERVATION_S
        if measured:
            request_class.measure(now - started)
        return self.poll(now)

    def cancel(self, ticket: Ticket, now: float) -> AdmissionChanges:
        """Remove a queued request whose caller no longer waits."""
        self._remove_queued(ticket, now)
        return self.poll(now)

    def set_limits(self, slots: int, connections: int, now: float) -> AdmissionChanges:
        """Set the limits when an endpoint warms up or announces new ones.

        Lower limits do not interrupt running requests.
        """
        self._set_limit(slots, connections)
        return self.poll(now)

    def poll(self, now: float) -> AdmissionChanges:
        """Remove expired requests from the queues and start those that may run now."""
        changes = AdmissionChanges()
        while self.deadlines and self.deadlines[0][0] <= now:
            deadline, _, ticket = heapq.heappop(self.deadlines)
            if self._is_queued_until(ticket, deadline):
                self._remove_queued(ticket, now)
                changes.expired.append(ticket)
        while (request_class := self._next_class(now)) is not None:
            ticket = next(iter(request_class.queue))
            self._remove_queued(ticket, now)
            self._start(ticket, request_class, now)
            changes.started.append(ticket)
        return changes

    def expected_wait(self, class_name: str) -> float:
        """Return the estimated queueing time of a new request of a class, in seconds.

        With a single class this is the queue length times the mean service time,
        divided by the slots. Every other class adds its queued work, up to the share
        that its weight gives it while the queue of this class is served.
        """
        own_class = self.classes_by_name[class_name]
        if self.limit == 0:
            return math.inf
        work_s = own_class.queued_work_s
        for other in self.classes:
            if other is own_class:
                continue
            allowed_s = own_class.queued_work_s * other.weight / own_class.weight
            work_s += min(other.queued_work_s, allowed_s)
        return work_s / self.limit

    def _set_limit(self, slots: int, connections: int) -> None:
        if slots < 0 or connections < 0:
            raise ValueError(
                f"slots and connections must be 0 or more, not {slots}, {connections}"
            )
        self.limit = min(slots, connections)
        spare = self.limit - len(self.classes)
        total_weight = sum(c.weight for c in self.classes)
        for request_class in self.classes:
            # With fewer slots than classes, no slots can be reserved.
            request_class.share = (
                1 + spare * request_class.weight // total_weight if spare >= 0 else 0
            )

    def _may_start(self, request_class: RequestClass, now: float) -> bool:
        free = self.limit - len(self.running)
        if request_class.running < request_class.share:
            return free > 0
        reserved_slots = sum(
            other.reserved_slots(now)
            for other in self.classes
            if other is not request_class
        )
        return free > reserved_slots

    def _next_class(self, now: float) -> RequestClass | None:
        """Return the class whose oldest request starts next, by deficit round robin.

        The deficit counts slot time instead of requests, because a class of long
        requests would otherwise get more than its share of the slots.
        """
        waiting = [c for c in self.classes if c.queue and self._may_start(c, now)]
        candidates = [c for c in waiting if c.running < c.share] or waiting
        if not candidates:
            return None
        # With this quantum each turn pays for a request, so the loop ends in one round.
        quantum_s = max(c.service_time_s for c in candidates)
        while True:
            request_class = self.classes[self.turn]
            if not request_class.queue:
                request_class.deficit = 0.0
            elif request_class in candidates:
                if not self.turn_started:
                    self.turn_started = True
                    request_class.deficit += quantum_s * request_class.weight
                if request_class.deficit >= request_class.service_time_s:
                    request_class.deficit -= request_class.service_time_s
                    return request_class
            self.turn = (self.turn + 1) % len(self.classes)
            self.turn_started = False

    def _start(self, ticket: Ticket, request_class: RequestClass, now: float) -> None:
        self.running[ticket] = (request_class, now)
        request_class.running += 1

    def _is_queued_until(self, ticket: Ticket, deadline: float) -> bool:
        request_class = self.queued.get(ticket)
        return request_class is not None and request_class.queue[ticket] == deadline

    def _remove_queued(self, ticket: Ticket, now: float) -> None:
        request_class = self.queued.pop(ticket)
        request_class.reserved_until = now + SHARE_RESERVATION_S
        del request_class.queue[ticket]

    def _push_deadline(self, ticket: Ticket, deadline: float) -> None:
        heapq.heappush(self.deadlines, (deadline, next(self.sequence), ticket))
        if len(self.deadlines) > 2 * len(self.queued) + 64:
            # Entries of started requests would otherwise remain until their deadline.
            self.deadlines = [
                e for e in self.deadlines if self._is_queued_until(e[2], e[0])
            ]
            heapq.heapify(self.deadlines)
