"""An HTTP server whose clients can use only a bounded part of its process."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable

import structlog
from aiohttp import web

from sesamepost.internal.clients.budget import READ_ON_BYTES, ClientBudget
from sesamepost.internal.clients.connection import BoundedConnection, Phase
from sesamepost.internal.clients.limits import (
    DEFAULT_CLIENT_LIMITS,
    ClientLimits,
    RequestLimits,
)
from sesamepost.internal.clients.refusals import RefusalCause, Refusals

CHECK_INTERVAL_S = 0.5
# While others wait, a client that makes no progress for this long is given up.
STALL_S = 1.0
# The same while the sum of all clients exceeds its limit by far.
SHORT_STALL_S = 0.25
# Connections that are closed together at the limit, as a share of all.
EVICTED_SHARE = 1 / 16
# A newcomer that is refused saves the next ones the search for another connection.
NO_ROOM_S = 0.1
FAILURE_LOG_INTERVAL_S = 1.0
STATUSES = {
    RefusalCause.HEAD_TOO_LARGE: (431, "Request Header Fields Too Large"),
    RefusalCause.HEAD_TIMEOUT: (408, "Request Timeout"),
}
TIMEOUTS = {
    Phase.HEAD: RefusalCause.HEAD_TIMEOUT,
    Phase.BODY: RefusalCause.BODY_TIMEOUT,
    Phase.ANSWER: RefusalCause.ANSWER_UNREAD,
    Phase.IDLE: RefusalCause.IDLE_TIMEOUT,
}


log = structlog.get_logger()


def silent_logger() -> logging.Logger:
    """Return a logger without output: a client must not cause lines without end."""
    logger = logging.getLogger("sesamepost.aiohttp")
    logger.disabled = True
    return logger


class BoundedServer(web.Server):
    """A low-level server that bounds the connections and the memory of its clients.

    ``limits`` returns the limits of requests that are in force. Time limits are checked
    twice before a connection is closed, so that a pause of this process ends no request
    whose bytes have already arrived.
    """

    connection_type: type[BoundedConnection] = BoundedConnection

    def __init__(
        self,
        handler,
        client_limits: ClientLimits = DEFAULT_CLIENT_LIMITS,
        limits: Callable[[], RequestLimits] = RequestLimits,
        refusals: Refusals | None = None,
        **options,
    ) -> None:
        super().__init__(handler, logger=silent_logger(), **options)
        self.max_connections = client_limits.connections
        self.budget = ClientBudget(client_limits.request_bytes)
        self.limits = limits
        self.refusals = refusals or Refusals()
        self.check_timer: asyncio.TimerHandle | None = None
        self.no_room_until = 0.0
        self.failure_logged_at = float("-inf")

    def __call__(self) -> BoundedConnection:
        """Return the protocol of a new connection."""
        return self.connection_type(self, loop=self._loop, **self._kwargs)

    def admit(self, connection: BoundedConnection) -> bool:
        """Return whether there is room for a new connection, and make it if needed."""
        if self.check_timer is None:
            self._schedule_check()
        if len(self._connections) < self.max_connections or self._make_room():
            return True
        self.refusals.note(RefusalCause.NO_CONNECTION, connection.client, "refused")
        return False

    def _make_room(self) -> bool:
        now = self._loop.time()
        if now < self.no_room_until:
            return False
        count = max(1, int(self.max_connections * EVICTED_SHARE))
        closable = self._closable(now)
        for connection in closable[:count]:
            self.refusals.note(
                RefusalCause.NO_CONNECTION, connection.client, connection.phase.name
            )
            connection.abort()
            # The connection is lost in a later turn of the event loop only.
            self._connections.pop(connection, None)
        if not closable:
            self.no_room_until = now + NO_ROOM_S
        return bool(closable)

    def _closable(self, now: float) -> list[BoundedConnection]:
        """Return the connections that can be closed, those to be closed first in front.

        The client with the most connections loses some if it has any without progress.
        """
        waiting = [
            connection
            for connection in self.connections
            if connection.waiting_s(now) >= STALL_S
        ]
        counts = Counter(connection.client for connection in self.connections)
        return sorted(
            waiting,
            key=lambda connection: (
                connection.has_work,
                -counts[connection.client],
                connection.phase is Phase.IDLE,
                connection.waiting_since,
            ),
        )

    def charge(self, connection: BoundedConnection, size: int, may_wait: bool) -> None:
        """Charge the budget; close connections if waiting is not enough."""
        self.budget.charge(connection, size, may_wait)
        if self.budget.is_overrun:
            self._relieve_overrun(connection)

    def _relieve_overrun(self, newest: BoundedConnection) -> None:
        """Close large connections that wait for their clients, the oldest first.

        Those that make progress are closed only once the sum is critical.
        """
        now = self._loop.time()
        waiting_s = {c: c.waiting_s(now) for c in self.budget.large}
        large = [c for c in waiting_s if c.phase is not Phase.AT_WORK]
        large.sort(key=lambda c: (c.has_work, c.is_held_back, -waiting_s[c]))
        for connection in large:
            if not self.budget.is_overrun:
                return
            if waiting_s[connection] >= SHORT_STALL_S or self.budget.is_critical:
                self._drop(connection, RefusalCause.NO_MEMORY)
        if self.budget.is_critical and newest.transport is not None:
            self._drop(newest, RefusalCause.NO_MEMORY)

    def note_malformed(self, connection: BoundedConnection) -> None:
        """Count a message that could not be parsed."""
        self.refusals.note(RefusalCause.MALFORMED, connection.client)

    def note_failure(self, error: BaseException) -> None:
        """Log that a handler failed, at most once in ``FAILURE_LOG_INTERVAL_S``."""
        now = self._loop.time()
        if now - self.failure_logged_at < FAILURE_LOG_INTERVAL_S:
            return
        self.failure_logged_at = now
        log.error("request_handler_failed", exc_info=error)

    def _drop(self, connection: BoundedConnection, cause: RefusalCause) -> None:
        self.refusals.note(cause, connection.client, connection.phase.name)
        connection.abort()
        self.budget.release(connection)

    def refuse(self, connection: BoundedConnection, cause: RefusalCause) -> None:
        """Refuse what the client is sending, or close its connection."""
        phase = connection.phase
        self.refusals.note(cause, connection.client, phase.name)
        if phase is Phase.BODY:
            connection.give_up_body()
        elif cause in STATUSES and connection.head_bytes:
            connection.give_up_head(*STATUSES[cause])
        else:
            connection.abort()

    def _schedule_check(self) -> None:
        self.check_timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self.check_timer = None
        if not self._connections:
            return
        now = self._loop.time()
        for connection in self.connections:
            self._check_times(connection, now)
        if self.budget.is_exceeded or self.budget.held_back:
            self._give_up_stalled(now)
        self.budget.read_waiting()
        self._schedule_check()

    def _check_times(self, connection: BoundedConnection, now: float) -> None:
        waiting_s = connection.waiting_s(now)
        if waiting_s <= self._timeout_s(connection):
            connection.is_expired = False
        elif not connection.is_expired:
            connection.is_expired = True
        else:
            self.refuse(connection, TIMEOUTS[connection.phase])

    def _timeout_s(self, connection: BoundedConnection) -> float:
        limits = self.limits()
        if connection.head_bytes and connection.phase is Phase.HEAD:
            return limits.header_timeout_s
        return limits.idle_timeout_s

    def _give_up_stalled(self, now: float) -> None:
        """Refuse large requests and answers that make no progress, the oldest first."""
        stalled = [
            connection
            for connection in self.budget.large
            if connection.waiting_s(now) >= STALL_S
        ]
        stalled.sort(key=lambda connection: connection.waiting_since)
        excess_bytes = self.budget.used_bytes - self.budget.limit_bytes
        excess_bytes += READ_ON_BYTES * len(self.budget.held_back)
        for connection in stalled:
            if excess_bytes <= 0:
                return
            excess_bytes -= self.budget.sizes[connection]
            if connection.is_input_refused or connection.phase is Phase.ANSWER:
                self._drop(connection, RefusalCause.NO_MEMORY)
            else:
                self.refuse(connection, RefusalCause.NO_MEMORY)
