"""Checks that the endpoint incarnation that sent the last heartbeat still runs.

A new incarnation may listen at the same address before its first heartbeat, and must
not receive the grants of the previous one. A connection is closed when the process at
the other end exits, so an open one that was opened right after a heartbeat proves that
the incarnation still runs.
"""

import asyncio
from contextlib import suppress

from sesamepost.internal.forwarding.endpoint_watch import EndpointWatch
from sesamepost.internal.wire.pool import Address

CONNECT_TIMEOUT_S = 0.5


class IdleConnection(asyncio.Protocol):
    """A connection that carries no data and only detects when it is closed."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport of the open connection."""
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Drop the transport, closed by the endpoint or by this node."""
        self.transport = None


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
        """Return whether a new connection would reach the last known incarnation."""
        return self.watch.has_recent_heartbeat() or self._is_open()

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
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    IdleConnection, *self.address
                )
            self.connection = connection
            if not self.watch.has_recent_heartbeat():
                self._close()

    def _is_open(self) -> bool:
        return self.connection is not None and self.connection.transport is not None

    def _close(self) -> None:
        if self._is_open():
            self.connection.transport.abort()
        self.connection = None
