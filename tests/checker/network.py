"""In-memory connections between simulated processes.

Bytes keep their order on a connection. What is sent while a link is cut arrives after
it has healed, unless its sender has reset the connection by then.
"""

import asyncio
from collections.abc import Callable
from contextvars import Context
from dataclasses import dataclass
from random import Random

from tests.checker.loop import PROCESS, Process, VirtualLoop

MIN_DELAY_S = 0.0001
MAX_DELAY_S = 0.001
# Keeps the order of messages that would arrive at the same time.
MIN_GAP_S = 1e-7


class MemoryTransport(asyncio.Transport):
    """One side of a connection; ``process`` is the one that reads and writes here."""

    def __init__(
        self, network: "Network", process: Process | None, link: "Link"
    ) -> None:
        super().__init__()
        self.network = network
        self.process = process
        self.link = link
        self.protocol: asyncio.Protocol | None = None
        self.peer: MemoryTransport | None = None
        self.is_closed = False
        self.is_reset = False
        # Silent connections deliver nothing, without an error.
        self.is_silent = False
        self.next_delivery = 0.0

    def get_extra_info(self, name, default=None):
        """Return nothing, as there is no socket."""
        return default

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        """Accept any limit; nothing is buffered here."""

    def get_write_buffer_size(self) -> int:
        """Return 0, as nothing is buffered here."""
        return 0

    def pause_reading(self) -> None:
        """Accept the call; messages here are short."""

    def resume_reading(self) -> None:
        """Accept the call; messages here are short."""

    def is_closing(self) -> bool:
        """Return whether this side was closed."""
        return self.is_closed

    def write(self, data: bytes) -> None:
        """Send bytes to the other side."""
        if not self.is_closed and data:
            self._deliver(self.peer.receive, bytes(data))

    def close(self) -> None:
        """Close this side; the other one reads the end of the stream."""
        if self.is_closed or self._has_ended():
            return
        self.is_closed = True
        self._deliver(self.peer.receive_end, None)
        self._call_lost(None)

    def abort(self) -> None:
        """Reset the connection."""
        if self.is_closed or self._has_ended():
            return
        self.is_closed = self.is_reset = True
        self._deliver(self.peer.receive_end, ConnectionResetError("reset"))
        self._call_lost(None)

    def reset_by_kernel(self) -> None:
        """Reset the connection because the process on this side has ended."""
        if not self.is_closed:
            self.is_closed = self.is_reset = True
            self._deliver(self.peer.receive_end, ConnectionResetError("reset"))

    def receive(self, data: bytes) -> None:
        """Hand received bytes to the protocol."""
        if not self.is_closed:
            self.protocol.data_received(data)

    def receive_end(self, error: Exception | None) -> None:
        """Handle the end of the other side."""
        if self.is_closed:
            return
        if error is None and self.protocol.eof_received():
            return
        if not self.is_closed:
            self.is_closed = True
            self.protocol.connection_lost(error)

    def _has_ended(self) -> bool:
        return self.network.loop.is_over or (
            self.process is not None and self.process.has_ended
        )

    def _call_lost(self, error: Exception | None) -> None:
        loop = self.network.loop
        context = self.process.context if self.process else Context()
        loop.call_soon(self.protocol.connection_lost, error, context=context)

    def _deliver(self, receive: Callable, content) -> None:
        network, peer = self.network, self.peer
        if self.is_silent or network.loop.is_over:
            return
        sent_at = max(network.loop.time(), self.link.cut_until)
        when = sent_at + network.delay_s(self.link)
        when = self.next_delivery = max(when, self.next_delivery + MIN_GAP_S)
        context = peer.process.context if peer.process else Context()
        is_held_up = self.link.cut_until > network.loop.time()
        network.loop.call_at(
            when, self._arrive, receive, content, is_held_up, context=context
        )

    def _arrive(self, receive: Callable, content, was_held_up: bool) -> None:
        is_lost = was_held_up and self.is_reset and isinstance(content, bytes)
        if not self.is_silent and not is_lost:
            receive(content)


@dataclass(slots=True)
class Link:
    """The path between a node and its worker.

    ``extra_delay_s`` is added to each message.
    """

    cut_until: float = float("-inf")
    extra_delay_s: float = 0.0


@dataclass(slots=True)
class Listener:
    """What serves an address; ``factory`` makes the protocol of a connection.

    A port that is closed refuses connections though its process runs.
    """

    process: Process
    factory: Callable[[], asyncio.Protocol]
    is_closed: bool = False


class ListeningServer:
    """Stands in for the server and for the socket that an event loop returns."""

    def __init__(self, listener: Listener, address: tuple[str, int]) -> None:
        self.listener = listener
        self.address = address
        self.sockets = [self]

    def getsockname(self) -> tuple[str, int]:
        """Return the host and the port."""
        return self.address

    def close(self) -> None:
        """Refuse connections from now on."""
        self.listener.is_closed = True


class Network:
    """The listeners and connections of an order."""

    def __init__(self, loop: VirtualLoop, random: Random) -> None:
        self.loop = loop
        self.random = random
        self.listeners: dict[str, Listener] = {}
        self.links: dict[str, Link] = {}
        self.connections: list[tuple[MemoryTransport, MemoryTransport]] = []
        loop.network = self

    def delay_s(self, link: Link) -> float:
        """Return the delay of one message."""
        spread = MAX_DELAY_S - MIN_DELAY_S
        return MIN_DELAY_S + self.random.random() * spread + link.extra_delay_s

    def link_to(self, host: str) -> Link:
        """Return the link to a host."""
        return self.links.setdefault(host, Link())

    def listen(self, factory, host: str, port: int) -> "ListeningServer":
        """Let the running process serve a host; a host has one port here."""
        listener = Listener(PROCESS.get(), factory)
        self.listeners[host] = listener
        return ListeningServer(listener, (host, port))

    async def connect(self, factory, host: str, port: int):
        """Open a connection from the running process to an address."""
        process = PROCESS.get()
        link = self.link_to(host)
        until_healed_s = max(0.0, link.cut_until - self.loop.time())
        await asyncio.sleep(until_healed_s + 2 * self.delay_s(link))
        listener = self.listeners.get(host)
        if listener is None or listener.process.has_ended or listener.is_closed:
            raise ConnectionRefusedError(host)
        near = MemoryTransport(self, process, link)
        far = MemoryTransport(self, listener.process, link)
        near.peer, far.peer = far, near
        near.protocol, far.protocol = factory(), listener.factory()
        self._forget_closed()
        self.connections.append((near, far))
        near.protocol.connection_made(near)
        # The kernel completes connections of a frozen process.
        self.loop.call_soon(
            far.protocol.connection_made, far, context=listener.process.context
        )
        return near, near.protocol

    def _forget_closed(self) -> None:
        self.connections = [
            pair for pair in self.connections if not all(t.is_closed for t in pair)
        ]

    def end_process(self, process: Process) -> None:
        """End a process; its connections are reset and its port is closed."""
        process.end()
        for pair in self.connections:
            for side in pair:
                if side.process is process:
                    side.reset_by_kernel()

    def silence(self, process: Process) -> None:
        """Let the open connections of a process go silent for good."""
        for pair in self.connections:
            if any(side.process is process for side in pair):
                for side in pair:
                    side.is_silent = True

    def reset(self, process: Process) -> None:
        """Reset the open connections of a process on both sides."""
        for pair in self.connections:
            if any(side.process is process for side in pair):
                for side in pair:
                    self._reset_side(side)

    def _reset_side(self, side: MemoryTransport) -> None:
        if side.is_closed or side.process is None:
            return
        error = ConnectionResetError("reset")
        self.loop.call_soon(side.receive_end, error, context=side.process.context)
