"""Checks that the endpoint incarnation that sent the last heartbeat still runs.

A new incarnation may listen at the same address before its first heartbeat, and must
not receive the grants of the previous one. A connection is closed when the process at
the other end exits, so an open one that was opened right after a heartbeat proves that
the incarnation still runs.
"""

import asyncio
from contextlib import suppress

import structlog

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.nodes import EndpointInfo
from sesamepost.internal.forwarding.endpoint_watch import EndpointWatch
from sesamepost.internal.wire.pool import Address

CONNECT_TIMEOUT_S = 0.5

log = structlog.get_logger()


class IdleConnection(asyncio.Protocol):
    """A connection that carries no data and only detects when it is closed."""

    def __init__(self, endpoint: EndpointInfo | None) -> None:
        # The incarnation that had sent the last heartbeat when this was opened.
        self.endpoint = endpoint
        self.opened_at = boottime()
        self.is_closed_here = False
        self.transport: asyncio.Transport | None = None

    def age_s(self) -> float:
        """Return the time since the connection was opened."""
        return round(boottime() - self.opened_at, 3)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport of the open connection."""
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Drop the transport, closed by the endpoint or by this node."""
        self.transport = None
        if not self.is_closed_here:
            log.info(
                "idle_connection_lost",
                endpoint=self.endpoint and self.endpoint.id,
                born=self.endpoint and self.endpoint.born,
                age_s=self.age_s(),
                error=repr(error) if error else None,
            )


class EndpointPresence:
    """Keeps one idle connection to the endpoint, reopened after a heartbeat."""

    def __init__(self, address: Address, watch: EndpointWatch) -> None:
        self.address = address
        self.watch = watch
        self.connection: IdleConnection | None = None
        self.task: asyncio.Task | None = None

    async def __aenter__(self) -> "EndpointPresence":
        return self

    async def __aexit__(self, *error) -> None:
        if self.task is not None:
            self.task.cancel()
        self._close()

    def is_current(self) -> bool:
        """Return whether a new connection would reach the last known incarnation.

        The grounds are logged, since grants over that connection rest on them.
        """
        is_open = self._is_open()
        if not self.watch.has_recent_heartbeat() and not is_open:
            return False
        known = self.watch.endpoint
        log.info(
            "new_connection_allowed",
            current_endpoint=known and known.id,
            current_born=known and known.born,
            heartbeat_age_s=self.watch.heartbeat_age_s(),
            idle_connection_born=self._idle_born() if is_open else None,
            idle_connection_age_s=self.connection.age_s() if is_open else None,
        )
        return True

    def _idle_born(self) -> int | None:
        endpoint = self.connection.endpoint
        return endpoint and endpoint.born

    def note_heartbeat(self) -> None:
        """Open the connection if there is none, while the heartbeat is recent."""
        is_opening = self.task is not None and not self.task.done()
        if self._is_open() or is_opening or not self.watch.has_recent_heartbeat():
            return
        self.task = asyncio.ensure_future(self._open())

    def note_new_incarnation(self) -> None:
        """Close the connection, which leads to an incarnation that has ended."""
        self._close()

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        endpoint = self.watch.endpoint
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: IdleConnection(endpoint), *self.address
                )
            self.connection = connection
            log.info(
                "idle_connection_opened",
                endpoint=endpoint and endpoint.id,
                born=endpoint and endpoint.born,
                heartbeat_age_s=self.watch.heartbeat_age_s(),
                is_kept=self.watch.has_recent_heartbeat(),
            )
            if not self.watch.has_recent_heartbeat():
                self._close()

    def _is_open(self) -> bool:
        return self.connection is not None and self.connection.transport is not None

    def _close(self) -> None:
        if self._is_open():
            self.connection.is_closed_here = True
            self.connection.transport.abort()
        self.connection = None
