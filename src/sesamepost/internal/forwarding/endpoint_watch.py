"""The life of the endpoint beside this node, and whether it takes work."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

import structlog

from sesamepost.errors import RouterError
from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.nodes import EndpointInfo
from sesamepost.internal.forwarding.endpoint_pool import EndpointPool, Listening
from sesamepost.internal.forwarding.protocol_names import HeaderNames
from sesamepost.internal.tasks import PeriodicTask

HEALTH_TIMEOUT_S = 0.5
# An endpoint without heartbeats for this long is probed.
HEARTBEAT_TIMEOUT_S = 3.0
CHECK_INTERVAL_S = 0.5
# The clock of a VM may step back, so an earlier start counts once the later one rests.
SILENT_INCARNATION_S = 2.0
# An endpoint does not end and start another life between a heartbeat and what follows
# within this time.
RECENT_HEARTBEAT_S = 0.25

log = structlog.get_logger()


class EndpointWatch(PeriodicTask):
    """Follows the endpoint by its heartbeats and probes it when they stop.

    ``on_change(is_gone)`` is called after each change of ``endpoint``; ``is_gone`` says
    that its process has ended. An endpoint that is not confirmed is known from the
    process before this one, and has sent no heartbeat yet.
    """

    interval_s = CHECK_INTERVAL_S

    def __init__(
        self,
        pool: EndpointPool,
        names: HeaderNames,
        on_change: Callable[[bool], None],
    ) -> None:
        self.pool = pool
        self.names = names
        self.on_change = on_change
        self.endpoint: EndpointInfo | None = None
        self.is_confirmed = True
        self.has_left = False
        # Ids of endpoints that have left before this process heard of them, with the
        # start of the life that left.
        self.departed: dict[str, int] = {}
        self.last_sequence = -1
        self.last_seen_at = 0.0
        self.last_heartbeat_at = float("-inf")
        self.is_suspect = False

    def has_recent_heartbeat(self) -> bool:
        """Return whether a heartbeat of the life in use came a moment ago."""
        return boottime() - self.last_heartbeat_at < RECENT_HEARTBEAT_S

    def suspect(self) -> None:
        """Have the endpoint probed soon, as a request to it broke off."""
        self.is_suspect = True

    def note_heartbeat(self, info: EndpointInfo, sequence: int) -> None:
        """Take a heartbeat; late ones of an earlier life or time are ignored."""
        now = boottime()
        current = self.endpoint
        if current is not None and info.incarnation == current.incarnation:
            if sequence <= self.last_sequence:
                return
            if self.has_left and info.is_ready:
                # A life that has announced its end does not come back from it.
                info = current
        elif current is not None and info.born < current.born:
            is_silent = now - self.last_seen_at >= SILENT_INCARNATION_S
            if not is_silent:
                return
        if current is None or info.incarnation != current.incarnation:
            self.has_left = info.born <= self.departed.get(info.id, -1)
            if self.has_left:
                # A heartbeat from before the leave, which came late.
                info = replace(info, is_ready=False)
        self.has_left |= not info.is_ready
        self.last_sequence = sequence
        self.last_seen_at = now
        self.last_heartbeat_at = now
        self.is_suspect = False
        self._update(info, is_gone=False)

    def note_leave(self, endpoint_id: str, born: int) -> None:
        """Take the endpoint's word that the life which began at ``born`` ends.

        The word binds also if this process has just started and has not heard of the
        endpoint yet.
        """
        current = self.endpoint
        if current is None or current.id != endpoint_id:
            self.departed[endpoint_id] = max(born, self.departed.get(endpoint_id, -1))
            return
        self.has_left = True
        self._update(replace(current, is_ready=False), is_gone=False)

    async def check_ended(self) -> bool:
        """Return whether the endpoint's process has ended, and note it if so."""
        info = self.endpoint
        if info is None or await self.pool.probe() is not Listening.NO:
            return False
        self._update(replace(info, is_ready=False), is_gone=True)
        return True

    async def restore_endpoint(self, info: EndpointInfo, health_path: str) -> None:
        """Use the endpoint that the process before this one knew, if it is still there.

        Its next heartbeat may be more than a second away.
        """
        address = self.pool.address
        headers = [("Host", f"{address.host}:{address.port}")]
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                answer = await self.pool.send("GET", health_path, headers, b"", "")
        except (RouterError, TimeoutError) as error:
            log.info("previous_endpoint_unresponsive", error=repr(error))
            return
        if self.endpoint is not None or answer.status != 200:
            return
        if answer.header(self.names.endpoint_id) == info.id:
            log.info("previous_endpoint_restored", endpoint=info.id, born=info.born)
            self._update(info, is_gone=False, is_confirmed=False)

    def _update(
        self, info: EndpointInfo, is_gone: bool, is_confirmed: bool = True
    ) -> None:
        if info != self.endpoint or is_confirmed != self.is_confirmed:
            log.info(
                "endpoint_changed",
                endpoint=info.id,
                service=info.service,
                born=info.born,
                ready=info.is_ready,
                slots=info.slots,
                is_gone=is_gone,
                is_confirmed=is_confirmed,
            )
        self.endpoint = info
        self.is_confirmed = is_confirmed
        self.on_change(is_gone)

    async def step(self) -> None:
        """Probe an endpoint that is suspected or whose heartbeats are missing."""
        info = self.endpoint
        if info is None or not info.is_ready:
            return
        silent_s = boottime() - self.last_seen_at
        if silent_s < HEARTBEAT_TIMEOUT_S and not self.is_suspect:
            return
        listening = await self.pool.probe()
        if self.endpoint is not info:
            return
        if listening is Listening.YES:
            self.is_suspect = False
            self.last_seen_at = boottime()
            return
        log.warning(
            "endpoint_not_listening",
            endpoint=info.id,
            listening=listening.value,
            silent_s=round(silent_s, 2),
        )
        self._update(replace(info, is_ready=False), listening is Listening.NO)
