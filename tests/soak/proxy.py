"""A loopback proxy that injects faults into the connections passing through it."""

import asyncio
import socket
from contextlib import suppress
from enum import Enum

CHUNK_BYTES = 64 << 10
POLL_INTERVAL_S = 0.02


class LinkFault(Enum):
    """A fault that a proxy applies to the bytes of all its links."""

    NONE = "none"
    DELAY = "delay"
    NO_REQUESTS = "no_requests"
    NO_ANSWERS = "no_answers"
    SILENT = "silent"


class Link:
    """One proxied connection, which forwards nothing once it is silenced.

    A silenced link that ``outlives_target`` stays open when the target closes it.
    """

    def __init__(self, proxy: "FaultProxy", client, server) -> None:
        self.proxy = proxy
        self.client = client
        self.server = server
        self.is_silenced = False
        self.outlives_target = False

    async def run(self) -> None:
        """Forward bytes in both directions until one side closes."""
        directions = (
            (self.client[0], self.server[1], LinkFault.NO_REQUESTS),
            (self.server[0], self.client[1], LinkFault.NO_ANSWERS),
        )
        tasks = [
            asyncio.ensure_future(self._forward(*direction)) for direction in directions
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            self.reset()

    def reset(self) -> None:
        """Reset both connections."""
        for _, writer in (self.client, self.server):
            connection = writer.get_extra_info("socket")
            with suppress(OSError):
                linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.close()

    async def _forward(self, reader, writer, blocked_by: LinkFault) -> None:
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.proxy.link_fault is LinkFault.DELAY:
                    await asyncio.sleep(self.proxy.delay_s)
                await self._wait_while_blocked(blocked_by)
                writer.write(data)
                await writer.drain()
        if reader is self.server[0] and self.outlives_target:
            await self._wait_until_client_closes()

    async def _wait_until_client_closes(self) -> None:
        while not self.client[1].is_closing():  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _wait_while_blocked(self, blocked_by: LinkFault) -> None:
        # Both conditions are plain fields without an event to wait for.
        while self.is_silenced or self.proxy.link_fault in (  # noqa: ASYNC110
            blocked_by,
            LinkFault.SILENT,
        ):
            await asyncio.sleep(POLL_INTERVAL_S)


class FaultProxy:
    """Forwards connections to ``target`` and applies ``link_fault`` to them."""

    def __init__(self, address: tuple[str, int], target: tuple[str, int]) -> None:
        self.address = address
        self.target = target
        self.link_fault = LinkFault.NONE
        self.delay_s = 0.0
        self.links: set[Link] = set()
        self.server: asyncio.Server | None = None

    async def __aenter__(self) -> "FaultProxy":
        await self.listen()
        return self

    async def __aexit__(self, *error) -> None:
        self.refuse()
        self.reset_all()

    async def listen(self) -> None:
        """Accept connections, if the port is closed."""
        if self.server is None:
            self.server = await asyncio.start_server(self._accept, *self.address)
            self.address = self.server.sockets[0].getsockname()[:2]

    def refuse(self) -> None:
        """Close the port; open connections go on."""
        if self.server is not None:
            self.server.close()
            self.server = None

    def reset_all(self) -> None:
        """Reset every open connection."""
        for link in list(self.links):
            link.reset()

    def silence_all(self) -> None:
        """Stop forwarding on open connections for good; new ones are unaffected."""
        for link in self.links:
            link.is_silenced = True

    def outlive_target(self) -> None:
        """Silence all open connections, which stay open when the target ends."""
        self.silence_all()
        for link in self.links:
            link.outlives_target = True

    async def _accept(self, reader, writer) -> None:
        try:
            server = await asyncio.open_connection(*self.target)
        except OSError:
            # Callers must see a closed port if the target's port is closed.
            writer.transport.abort()
            return
        except asyncio.CancelledError:
            writer.close()
            raise
        link = Link(self, (reader, writer), server)
        self.links.add(link)
        try:
            # Nothing awaits this handler, which is cancelled when the loop closes.
            with suppress(asyncio.CancelledError):
                await link.run()
        finally:
            self.links.discard(link)
