"""Tracks which incarnation of the endpoint runs and whether it accepts requests."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

import structlog

from sesamepost.errors import RouterError
from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.nodes import EndpointInfo
from sesamepost.internal.forwarding.endpoint_connection import EndpointResponse
from sesamepost.internal.forwarding.endpoint_pool import EndpointPool, Listening
from sesamepost.internal.forwarding.protocol_names import HeaderNames
from sesamepost.internal.tasks import PeriodicTask

HEALTH_TIMEOUT_S = 0.5
# An endpoint without heartbeats for this long is probed.
HEARTBEAT_TIMEOUT_S = 3.0
CHECK_INTERVAL_S = 0.5
DEFAULT_HEARTBEAT_INTERVAL_S = 1.5
# One heartbeat may be lost, and the next one late by this much.
HEARTBEAT_JITTER_S = 0.5
# After a longer time between two steps, the process of this node has stood still, and
# heartbeats may be unread.
MAX_STEP_GAP_S = 3 * CHECK_INTERVAL_S
# The clock of a VM may step back, so an incarnation with an earlier start time is
# accepted once the present one has been silent for this long.
SILENT_INCARNATION_S = 2.0

log = structlog.get_logger()

OnHealth = Callable[[EndpointInfo, EndpointResponse, float], None]


class EndpointWatch(PeriodicTask):
    """Tracks the endpoint by its heartbeats and probes it when they stop.

    ``on_change(is_gone)`` is called after each change of ``endpoint``; ``is_gone``
    means that its process has ended. The endpoint is not confirmed if it was restored
    from the entry of the previous process and has not sent a heartbeat since.
    ``heartbeat_interval_s`` is the time between two heartbeats.
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
        # The open connections to the endpoint; those of commands are not in the pool.
        self.count_open: Callable[[], int] = pool.count_open if pool else lambda: 0
        # Called with a health response and when it was requested.
        self.on_health: OnHealth = lambda info, answer, sent_at: None
        self.heartbeat_interval_s = DEFAULT_HEARTBEAT_INTERVAL_S
        self.endpoint: EndpointInfo | None = None
        self.is_confirmed = True
        self.has_left = False
        # Start times of incarnations that sent a leave message before this process
        # received a heartbeat of them, by endpoint id.
        self.departed: dict[str, int] = {}
        self.last_sequence = -1
        self.last_seen_at = 0.0
        # Heartbeats that arrived since then would have been processed.
        self.listening_since = self.stepped_at = boottime()
        self.last_heartbeat_at = float("-inf")
        # The incarnation whose port is closed, until it has ended or sends a heartbeat.
        self.unreachable: tuple[str, int] | None = None
        self.is_suspect = False
        # The incarnation that was last taken for ended, until it sends a heartbeat.
        self.ended: tuple[str, int] | None = None

    @property
    def end_silence_s(self) -> float:
        """The time without a heartbeat that is part of the proof of an end."""
        return 2 * self.heartbeat_interval_s + HEARTBEAT_JITTER_S

    def has_heartbeat_since(self, time: float) -> bool:
        """Return whether a heartbeat was accepted after ``time``.

        It may have been sent earlier, by an incarnation that has ended.
        """
        return self.last_heartbeat_at > time

    def heartbeat_age_s(self) -> float | None:
        """Return the time since the last accepted heartbeat, None if there was none."""
        age_s = boottime() - self.last_heartbeat_at
        return None if age_s == float("inf") else round(age_s, 3)

    def suspect(self) -> None:
        """Request a probe of the endpoint after a request to it has failed."""
        self.is_suspect = True

    def note_heartbeat(self, info: EndpointInfo, sequence: int) -> bool:
        """Process a heartbeat unless it is outdated by a newer one or a restart.

        Return whether it was processed.
        """
        now = boottime()
        current = self.endpoint
        if current is not None and info.incarnation == current.incarnation:
            if sequence <= self.last_sequence:
                self._log_heartbeat("heartbeat_rejected", info, sequence, "sequence")
                return False
            if self.has_left and info.is_ready:
                # An incarnation that has sent a leave message stays unready.
                info = current
        elif current is not None and info.born < current.born:
            is_silent = now - self.last_seen_at >= SILENT_INCARNATION_S
            if not is_silent:
                self._log_heartbeat("heartbeat_rejected", info, sequence, "born")
                return False
        self._log_if_unexpected(info, sequence)
        if current is None or info.incarnation != current.incarnation:
            self.has_left = info.born <= self.departed.get(info.id, -1)
            if self.has_left:
                # The heartbeat was sent before the leave message and arrived after it.
                info = replace(info, is_ready=False)
        self.has_left |= not info.is_ready
        info = replace(info, has_left=self.has_left)
        self.last_sequence = sequence
        self.last_seen_at = now
        self.last_heartbeat_at = now
        self.unreachable = None
        self.is_suspect = False
        self._update(info, is_gone=False)
        return True

    def _log_if_unexpected(self, info: EndpointInfo, sequence: int) -> None:
        """Log an accepted heartbeat that changes which incarnation is known to run."""
        current = self.endpoint
        if self.ended == info.incarnation:
            self._log_heartbeat("heartbeat_after_end", info, sequence)
        elif current is None or info.incarnation != current.incarnation:
            self._log_heartbeat("heartbeat_of_new_incarnation", info, sequence)
        self.ended = None

    def _log_heartbeat(
        self, event: str, info: EndpointInfo, sequence: int, reason: str | None = None
    ) -> None:
        current = self.endpoint
        log.info(
            event,
            endpoint=info.id,
            born=info.born,
            sequence=sequence,
            ready=info.is_ready,
            reason=reason,
            current_endpoint=current and current.id,
            current_born=current and current.born,
            current_sequence=self.last_sequence,
            heartbeat_age_s=self.heartbeat_age_s(),
        )

    def note_leave(self, endpoint_id: str, born: int) -> None:
        """Process the leave message of the incarnation that was started at ``born``.

        It also counts if this process has just started and has received no heartbeat
        of the endpoint yet.
        """
        current = self.endpoint
        if current is None or current.id != endpoint_id:
            self.departed[endpoint_id] = max(born, self.departed.get(endpoint_id, -1))
            return
        self.has_left = True
        self._update(replace(current, is_ready=False, has_left=True), is_gone=False)

    def note_left(self, endpoint_id: str, born: int) -> None:
        """Process the record that an incarnation has left this node."""
        current = self.endpoint
        if current is not None and current.incarnation == (endpoint_id, born):
            self.note_leave(endpoint_id, born)
        else:
            self.departed[endpoint_id] = max(born, self.departed.get(endpoint_id, -1))

    async def check_ended(self) -> bool:
        """Probe whether the endpoint's process has ended, and record it if so."""
        info = self.endpoint
        if info is None or await self.pool.probe() is not Listening.NO:
            return False
        if self.endpoint is not info:
            # A heartbeat arrived during the probe.
            return False
        is_gone = self._note_not_listening(info, Listening.NO)
        self._update(replace(info, is_ready=False), is_gone)
        return is_gone

    async def restore_endpoint(self, info: EndpointInfo, health_path: str) -> None:
        """Use the endpoint known to the previous process if it still answers.

        Its next heartbeat may be more than a second away.
        """
        address = self.pool.address
        headers = [("Host", f"{address.host}:{address.port}")]
        sent_at = boottime()
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
            self.on_health(info, answer, sent_at)

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
        if is_gone:
            self.ended = info.incarnation
        self.is_confirmed = is_confirmed
        self.on_change(is_gone)

    async def step(self) -> None:
        """Probe the endpoint if it is suspected or its heartbeats are overdue."""
        now = boottime()
        if now - self.stepped_at > MAX_STEP_GAP_S:
            self.listening_since = now
        self.stepped_at = now
        info = self.endpoint
        if info is None or not self._is_probe_due(info):
            return
        listening = await self.pool.probe()
        if self.endpoint is not info:
            return
        if listening is Listening.YES:
            self.is_suspect = False
            self.last_seen_at = boottime()
            return
        is_gone = self._note_not_listening(info, listening)
        self._update(replace(info, is_ready=False), is_gone)

    def _is_probe_due(self, info: EndpointInfo) -> bool:
        if info.is_ready:
            silent_s = boottime() - self.last_seen_at
            return silent_s >= HEARTBEAT_TIMEOUT_S or self.is_suspect
        return self.unreachable == info.incarnation and self._is_silent()

    def _is_silent(self) -> bool:
        """Return whether an endpoint that lives would have sent a heartbeat by now."""
        now = boottime()
        if now - self.stepped_at > MAX_STEP_GAP_S:
            return False
        since = max(self.last_heartbeat_at, self.listening_since)
        return now - since >= self.end_silence_s

    def _note_not_listening(self, info: EndpointInfo, listening: Listening) -> bool:
        """Log that the endpoint does not listen; return whether its process has ended.

        The end of a process closes its port and all its connections, and ends its
        heartbeats. A closed port alone proves nothing, since the endpoint may go on
        over its open connections, or may close them all and still hold its keys.
        """
        open_connections = self.count_open()
        log.warning(
            "endpoint_not_listening",
            endpoint=info.id,
            born=info.born,
            listening=listening.value,
            silent_s=round(boottime() - self.last_seen_at, 2),
            heartbeat_age_s=self.heartbeat_age_s(),
            open_connections=open_connections,
        )
        if listening is not Listening.NO:
            return False
        has_ended = not open_connections and self._is_silent()
        self.unreachable = None if has_ended else info.incarnation
        return has_ended
