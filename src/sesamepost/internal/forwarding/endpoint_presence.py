"""Whether the life of an endpoint that was heard of last is surely still there.

Another life may listen at the same address before its first heartbeat, and must not get
the grants of the one before. An open connection ends with the process behind it, so one
that was opened right after a heartbeat proves that its life goes on.
"""

import asyncio
from contextlib import suppress

from sesamepost.internal.forwarding.endpoint_watch import EndpointWatch
from sesamepost.internal.wire.pool import Address

CONNECT_TIMEOUT_S = 0.5


class IdleConnection(asyncio.Protocol):
    """A connection that carries nothing and only notices its end."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Remember the transport of an open connection."""
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Forget the transport, as the endpoint or this side closed it."""
        self.transport = None


class EndpointPresence:
    """Holds one idle connection to the endpoint, opened anew after a heartbeat."""

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
        """Return whether a connection opened now leads to the life heard of last."""
        return self.watch.has_recent_heartbeat() or self._is_open()

    def note_heartbeat(self) -> None:
        """Open the connection if there is none, as the endpoint is surely there now."""
        is_opening = self.task is not None and not self.task.done()
        if self._is_open() or is_opening or not self.watch.has_recent_heartbeat():
            return
        self.task = asyncio.ensure_future(self._open())

    def note_new_incarnation(self) -> None:
        """Forget the connection, as it leads to a life that is over."""
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
