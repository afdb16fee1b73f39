"""An endpoint of this VM, as the dispatcher uses it."""

import math
from collections import Counter

from sesamepost.errors import ErrorKind
from sesamepost.internal.admission.gate import AdmissionGate
from sesamepost.internal.admission.health import EndpointHealth, HealthStatus
from sesamepost.internal.admission.ramp import ColdStart
from sesamepost.internal.clock import boottime
from sesamepost.internal.dispatch.endpoint_client import EndpointClient
from sesamepost.internal.dispatch.endpoints import Announcement, EndpointState
from sesamepost.internal.settings.model import ServiceSettings

# A refused connection is an unambiguous sign, so an endpoint that has ended goes out of
# service before its announcement expires. The next success or announcement resets the
# count.
REFUSED_CONNECTIONS_LIMIT = 2
# Refusals due to load or to a deadline say nothing about the endpoint's health.
FAILURE_KINDS = frozenset(
    {
        ErrorKind.ENDPOINT_UNREACHABLE,
        ErrorKind.OUTCOME_UNKNOWN,
        ErrorKind.ANSWER_CUT_OFF,
    }
)


class ServedEndpoint:
    """An announced endpoint with its connections, limits and health."""

    def __init__(self, announcement: Announcement, settings: ServiceSettings) -> None:
        self.announcement = announcement
        self.settings = settings
        self.client = EndpointClient(announcement.url, announcement.connections)
        self.client.open()
        self.gate = AdmissionGate(settings)
        self.ramp = ColdStart()
        self.health = EndpointHealth(boottime())
        self.health_status = HealthStatus.HEALTHY
        self.counters: Counter[str] = Counter()
        self.refused_connections = 0
        self.has_grant = not announcement.fenced
        self.is_granting = False
        self.in_flight: dict[int, float] = {}
        self.last_id = 0
        self._apply_announcement(announcement)

    @property
    def slots(self) -> int:
        """The number of slots that settings and endpoint allow after the cold start."""
        return min(self.announcement.slots, self.settings.slots)

    @property
    def is_draining(self) -> bool:
        """Whether the endpoint has asked for its partitions to be moved away."""
        return self.announcement.state is EndpointState.DRAINING

    def is_in_service(self, now: float) -> bool:
        """Return whether requests may be dispatched to the endpoint."""
        return (
            self.has_grant
            and self.announcement.is_current(now)
            and self.refused_connections < REFUSED_CONNECTIONS_LIMIT
        )

    def may_own(self, now: float) -> bool:
        """Return whether partitions may be assigned to this endpoint.

        A failing endpoint goes on serving the partitions that it owns until the
        controller has moved them, since a move may not be possible.
        """
        return (
            self.is_in_service(now) and self.health_status is not HealthStatus.FAILING
        )

    def cold_start_fraction(self, now: float) -> float:
        """Return the fraction of the slots that is open during a cold start."""
        return self.ramp.fraction(now)

    def renew(self, announcement: Announcement) -> bool:
        """Apply a renewed announcement; return False if it is another process's."""
        current = self.announcement
        if (announcement.url, announcement.connections, announcement.fenced) != (
            current.url,
            current.connections,
            current.fenced,
        ):
            return False
        self._apply_announcement(announcement)
        return True

    def change_settings(self, settings: ServiceSettings) -> bool:
        """Apply changed settings; return False if they require a new queue.

        If only limits change, the queue is kept, so that requests in flight count
        towards the new limits.
        """
        if settings.classes != self.settings.classes:
            return False
        if settings != self.settings:
            self.settings = settings
            self.gate.set_queue_length(settings.queue_length)
            self._set_limits(boottime())
        return True

    def adopt_state(self, previous: "ServedEndpoint") -> None:
        """Copy the state of the same process when only its settings have changed.

        Without its grant the endpoint would be briefly out of service, and a load
        report sent then would make the controller move its partitions away.
        """
        old, new = previous.announcement, self.announcement
        if (old.url, old.fenced) != (new.url, new.fenced):
            return
        self.has_grant = previous.has_grant
        self.ramp = previous.ramp
        self.health = previous.health
        self.health_status = previous.health_status
        self._apply_announcement(new)

    def evaluate(self, now: float) -> None:
        """Update the health status and the limits, which grow during a cold start."""
        self.health_status = self.health.evaluate(now)
        self._set_limits(now)

    def note_success(self) -> None:
        """Count a request that the endpoint answered."""
        self.refused_connections = 0
        self.health.observe(False, boottime())

    def note_failure(self, kind: ErrorKind) -> None:
        """Count a request that got no complete answer."""
        self.counters[kind] += 1
        if kind in FAILURE_KINDS:
            self.health.observe(True, boottime())
        if kind is ErrorKind.ENDPOINT_UNREACHABLE:
            self.refused_connections += 1

    def longest_in_flight_s(self) -> float:
        """Return the age in seconds of the oldest request in flight, or 0."""
        if not self.in_flight:
            return 0.0
        return boottime() - min(self.in_flight.values())

    def begin(self) -> int:
        """Register a request in flight and return its number."""
        self.last_id += 1
        self.in_flight[self.last_id] = boottime()
        return self.last_id

    def end(self, number: int) -> None:
        """Remove a request from those in flight."""
        del self.in_flight[number]

    async def grant(self, service: str, incarnation: int, valid_until: float) -> None:
        """Extend a fenced endpoint's grant to ``valid_until``, the end of the lease."""
        if not self.announcement.fenced or valid_until == -math.inf:
            return
        self.has_grant = await self.client.grant(service, incarnation, valid_until)

    async def close(self) -> None:
        """Close the connections to the endpoint."""
        await self.client.close()

    def _apply_announcement(self, announcement: Announcement) -> None:
        now = announcement.received_at
        self.announcement = announcement
        self.refused_connections = 0
        self.ramp.observe(announcement.state, now)
        self.health.report(announcement.load, now)
        self._set_limits(now)

    def _set_limits(self, now: float) -> None:
        connections = min(self.announcement.connections, self.settings.connections)
        self.gate.set_limits(self.ramp.slots(self.slots, now), connections)
