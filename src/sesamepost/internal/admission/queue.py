"""The queue in front of one endpoint.

``EndpointAdmission`` decides when a request may be sent to the endpoint. The limits are
hard: it never lets more requests run than the endpoint has slots. Classes share the
slots by weight, so a flood in one class does not starve the others.
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

# Weight of the newest request in the mean service time: about 20 requests count.
MEAN_WEIGHT = 0.1
# Used until the first request of a class has ended.
INITIAL_SERVICE_TIME_S = 0.01
# Keeps the cost of a request above 0 when the clock is coarse.
MIN_SERVICE_TIME_S = 1e-4
# A class of short requests has no work for moments between them. Without this time long
# requests of another class would take its slots in each of these moments.
SHARE_RESERVATION_S = 0.5

Ticket = Hashable


@dataclass(slots=True)
class AdmissionChanges:
    """Tickets that may be sent now, and tickets whose deadline passed in the queue.

    The caller answers the expired ones with ``deadline_not_run``.
    """

    started: list[Ticket] = field(default_factory=list)
    expired: list[Ticket] = field(default_factory=list)


@dataclass(slots=True)
class RequestClass:
    """The queue and the counts of one class.

    ``queue`` maps tickets to deadlines in the order of arrival. ``deficit`` is the slot
    time in seconds that the class may still use in its turn. ``peak`` is the highest
    number of requests since the class was last without work for
    ``SHARE_RESERVATION_S``.
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
        """Count a request that is about to be queued or started."""
        if not self.has_work and now >= self.reserved_until:
            self.peak = 0
        self.peak = max(self.peak, self.running + len(self.queue) + 1)

    def reserved_slots(self, now: float) -> int:
        """Return the free slots that no other class may take.

        That is its unused share while it has work, and for ``SHARE_RESERVATION_S``
        after that as much of its share as it has needed.
        """
        if self.has_work:
            return max(0, self.share - self.running)
        if now >= self.reserved_until:
            return 0
        return min(self.share, self.peak)

    @property
    def queued_work_s(self) -> float:
        """The slot time that the queued requests will probably take."""
        return len(self.queue) * self.service_time_s

    def measure(self, service_time_s: float) -> None:
        """Count one more request in the mean service time."""
        service_time_s = max(service_time_s, MIN_SERVICE_TIME_S)
        if not self.measured:
            self.measured = True
            self.service_time_s = service_time_s
        self.service_time_s += MEAN_WEIGHT * (service_time_s - self.service_time_s)


class EndpointAdmission:
    """Decides which requests of one service an endpoint gets, and in which order.

    Each request is a ticket, any hashable value. ``now`` and deadlines are in seconds
    on one clock. ``queue_length`` bounds the queue of each class, because a flood would
    otherwise take the whole queue. An empty class name means the first class.

    Slots that a class does not use are lent to the others while it has no work.
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
                f"at least one class is needed, each of weight 1 or more, not {classes}"
            )
        self.queue_length = queue_length
        self.classes = [RequestClass(c.name, c.weight) for c in classes]
        self.by_name = {c.name: c for c in self.classes}
        self.by_name.setdefault("", self.classes[0])
        self.running: dict[Ticket, tuple[RequestClass, float]] = {}
        self.queued: dict[Ticket, RequestClass] = {}
        self.deadlines: list[tuple[float, int, Ticket]] = []
        self.sequence = itertools.count()
        self.turn = 0
        self.turn_started = False
        self.limit = 0
        self._set_limit(slots, connections)

    def next_poll(self, now: float) -> float | None:
        """Return when ``poll`` must be called if nothing else happens before.

        That is when a queued request expires or a slot that is set aside for a class
        without work becomes free for the others. None if no request is queued.
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
        """Start a request (True), queue it (False) or say why it is refused.

        A refused request has not run.
        """
        if ticket in self.running or ticket in self.queued:
            raise ValueError(f"ticket {ticket!r} is submitted already")
        request_class = self.by_name.get(class_name)
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

        ``measured`` is False if its duration says nothing about the service time, as
        when no connection could be opened.
        """
        request_class, started = self.running.pop(ticket)
        request_class.running -= 1
        request_class.reserved_until = now + SHARE_RESERVATION_S
        if measured:
            request_class.measure(now - started)
        return self.poll(now)

    def cancel(self, ticket: Ticket, now: float) -> AdmissionChanges:
        """Remove a queued request that nobody waits for any more."""
        self._remove_queued(ticket, now)
        return self.poll(now)

    def set_limits(self, slots: int, connections: int, now: float) -> AdmissionChanges:
        """Change the limits, as an endpoint warms up or announces other ones.

        Running requests are not interrupted when the limits fall.
        """
        self._set_limit(slots, connections)
        return self.poll(now)

    def poll(self, now: float) -> AdmissionChanges:
        """Expire queued requests and start those that may run now."""
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
        """Return how long a new request of a class would probably be queued.

        With one class this is queue length times mean service time over slots. Another
        class delays it by its queued work, but by no more than its weight allows it
        while the queue of this class is served.
        """
        own_class = self.by_name[class_name]
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
            # With fewer slots than classes nothing can be set aside.
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

        The deficit counts slot time and not requests. A class of long requests would
        otherwise get more than its share of the slots.
        """
        waiting = [c for c in self.classes if c.queue and self._may_start(c, now)]
        candidates = [c for c in waiting if c.running < c.share] or waiting
        if not candidates:
            return None
        # A turn then pays for at least one request, so this loop ends in one round.
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
            # Entries of started requests would otherwise stay until their deadline.
            self.deadlines = [
                e for e in self.deadlines if self._is_queued_until(e[2], e[0])
            ]
            heapq.heapify(self.deadlines)
