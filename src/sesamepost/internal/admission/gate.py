"""Lets asyncio tasks wait for a slot of their endpoint."""

import asyncio
import itertools

from sesamepost.errors import ErrorKind, RouterError
from sesamepost.internal.admission.queue import AdmissionChanges, EndpointAdmission
from sesamepost.internal.clock import boottime
from sesamepost.internal.settings.model import ServiceSettings

FIRST_CLASS = ""


class AdmissionGate:
    """Applies the decisions of ``EndpointAdmission`` to waiting tasks.

    Example::

        ticket = await gate.admit("closings", deadline)
        try:
            ...
        finally:
            gate.release(ticket)
    """

    def __init__(self, settings: ServiceSettings) -> None:
        self.admission = EndpointAdmission(
            0, 0, settings.queue_length, settings.classes
        )
        self.tickets = itertools.count()
        self.waiting: dict[int, asyncio.Future] = {}
        self.timer: asyncio.TimerHandle | None = None

    @property
    def used(self) -> int:
        """The number of slots in use."""
        return len(self.admission.running)

    @property
    def queued(self) -> int:
        """The number of waiting requests."""
        return len(self.waiting)

    def set_limits(self, slots: int, connections: int) -> None:
        """Set the limits of the endpoint."""
        if min(slots, connections) != self.admission.limit:
            self._apply(self.admission.set_limits(slots, connections, boottime()))

    def set_queue_length(self, length: int) -> None:
        """Set how many requests of each class may wait."""
        self.admission.queue_length = length

    async def admit(self, class_name: str, deadline: float) -> int:
        """Wait for a slot and return a ticket that must be released.

        Raises ``RouterError`` if the queue is full, the expected wait exceeds the
        remaining time, or the deadline passes. In these cases the request has not run.
        """
        ticket = next(self.tickets)
        result = self.admission.submit(ticket, class_name, deadline, boottime())
        if result.is_error():
            raise RouterError(result.error)
        if result.ok:
            return ticket
        future = asyncio.get_running_loop().create_future()
        self.waiting[ticket] = future
        self._schedule_poll()
        try:
            await future
        except asyncio.CancelledError:
            self._withdraw(ticket, future)
            raise
        finally:
            self.waiting.pop(ticket, None)
        return ticket

    def release(self, ticket: int, measured: bool = True) -> None:
        """Free the slot of a ticket.

        ``measured`` is False if the time for which the slot was in use says nothing
        about the speed of the endpoint.
        """
        self._apply(self.admission.finish(ticket, boottime(), measured))

    def _withdraw(self, ticket: int, future: asyncio.Future) -> None:
        if ticket in self.admission.queued:
            self._apply(self.admission.cancel(ticket, boottime()))
        elif ticket in self.admission.running:
            # The slot was granted in the same loop iteration as the cancellation.
            self.release(ticket, measured=False)

    def _apply(self, changes: AdmissionChanges) -> None:
        for ticket in changes.started:
            future = self.waiting.get(ticket)
            if future is not None and not future.done():
                future.set_result(None)
        for ticket in changes.expired:
            future = self.waiting.get(ticket)
            if future is not None and not future.done():
                future.set_exception(RouterError(ErrorKind.DEADLINE_NOT_RUN))
        self._schedule_poll()

    def _schedule_poll(self) -> None:
        if not self.waiting:
            return
        if self.timer is not None:
            self.timer.cancel()
        now = boottime()
        next_poll = self.admission.next_poll(now)
        if next_poll is None:
            return
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(max(0.0, next_poll - now), self._poll)

    def _poll(self) -> None:
        self.timer = None
        self._apply(self.admission.poll(boottime()))
