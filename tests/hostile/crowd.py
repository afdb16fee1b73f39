"""Clients that send to a node without regard for its limits."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from contextlib import asynccontextmanager, suppress

# A client that the node does not read from for this long stops sending.
SEND_TIMEOUT_S = 5.0
CONNECT_TIMEOUT_S = 5.0


class Client:
    """One connection, which stays open until the crowd is closed."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> bool:
        """Open the connection and return whether that succeeded."""
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                # A small limit leaves answers in the sockets.
                self.reader, self.writer = await asyncio.open_connection(
                    *self.address, limit=1
                )
        return self.writer is not None

    async def send(self, parts: Iterable[bytes]) -> None:
        """Send until all is sent, the node closes or it no longer reads."""
        with suppress(OSError, TimeoutError):
            for part in parts:
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    self.writer.write(part)
                    await self.writer.drain()

    def close(self) -> None:
        """Reset the connection."""
        if self.writer is not None:
            self.writer.transport.abort()


@asynccontextmanager
async def crowd(
    address: tuple[str, int], count: int, act: Callable[[Client], Awaitable[None]]
):
    """Let clients act at the same time, and keep their connections open after that."""
    clients = [Client(address) for _ in range(count)]

    async def run(client: Client) -> None:
        if await client.connect():
            await act(client)

    try:
        await asyncio.gather(*(run(client) for client in clients))
        yield clients
    finally:
        for client in clients:
            client.close()
