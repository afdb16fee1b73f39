"""One endpoint that this daemon serves requests to."""

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

# A refused connection is certain, so an endpoint that ended is noticed before its
# announcements are missed. One success ends the suspicion.
REFUSED_CONNECTIONS_LIMIT = 2
# Refusals because of load or of a deadline say nothing about the endpoint's health.
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
        self.next_id = 0
        self._apply_announcement(announcement)

    @property
    def slots(self) -> int:
        """The slots that the settings and the endpoint allow once it is warm."""
        return min(self.announcement.slots, self.settings.slots)

    @property
    def is_draining(self) -> bool:
        """Whether the endpoint wants its partitions moved away."""
        return self.announcement.state is EndpointState.DRAINING

    def is_in_service(self, now: float) -> bool:
        """Return whether requests may be dispatched to the endpoint."""
        return (
            self.has_grant
            and self.announcement.is_current(now)
            and self.refused_connections < REFUSED_CONNECTIONS_LIMIT
        )

    def may_own(self, now: float) -> bool:
        """Return whether partitions should be here.

        A failing endpoint still serves what it owns until the controller has moved it,
        since moving may not be possible.
        """
        return (
            self.is_in_service(now) and self.health_status is not HealthStatus.FAILING
        )

    def cold_start_fraction(self, now: float) -> float:
        """Return the share of the slots that a cold endpoint gets so far."""
        return self.ramp.fraction(now)

    def renew(self, announcement: Announcement) -> bool:
        """Take a renewed announcement; False if it is another endpoint process."""
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
        """Take changed settings; False if the endpoint needs a new queue for them.

        The queue goes on where only limits change, so that requests in flight count
        in the new limits.
        """
        if settings.classes != self.settings.classes:
            return False
        if settings != self.settings:
            self.settings = settings
            self.gate.set_queue_length(settings.queue_length)
            self._set_limits(boottime())
        return True

    def adopt_state(self, previous: "ServedEndpoint") -> None:
        """Keep what is known of the same process when only its settings changed.

        Without its grant the endpoint would be out of service for a moment, and a load
        report of that moment makes the controller move its partitions away.
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
        """Update the health status of the endpoint and the slots of a cold one."""
        self.health_status = self.health.evaluate(now)
        self._set_limits(now)

    def note_success(self) -> None:
        """Count a request that the endpoint answered."""
        self.refused_connections = 0
        self.health.observe(False, boottime())

    def note_failure(self, kind: ErrorKind) -> None:
        """Count a request that got no whole answer."""
        self.counters[kind] += 1
        if kind in FAILURE_KINDS:
            self.health.observe(True, boottime())
        if kind is ErrorKind.ENDPOINT_UNREACHABLE:
            self.refused_connections += 1

    def longest_in_flight_s(self) -> float:
        """Return for how long the oldest request in flight has been running."""
        if not self.in_flight:
            return 0.0
        return boottime() - min(self.in_flight.values())

    def begin(self) -> int:
        """Count a request in flight and return its number."""
        self.next_id += 1
        self.in_flight[self.next_id] = boottime()
        return self.next_id

    def end(self, number: int) -> None:
        """Forget a request in flight."""
        del self.in_flight[number]

    async def grant(self, service: str, incarnation: int, valid_until: float) -> None:
        """Extend the grant of a fenced endpoint to the end of the lease."""
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
