"""Pool of a daemon's streams: accepts, dials and looks them up by peer."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

import structlog

from sesamepost.internal.identity import ANY_INCARNATION, NodeId
from sesamepost.internal.wire.handshake import Handshake
from sesamepost.internal.wire.link_sender import LinkSender
from sesamepost.internal.wire.messages import COMPRESSED_VERSION, PROTOCOL_VERSION
from sesamepost.internal.wire.stream import PeerStream, StreamClosedError

DIAL_TIMEOUT_S = 1.0
SILENCE_CHECK_INTERVAL_S = 0.25

log = structlog.get_logger()

MessageHandlers = dict[type, Callable[[PeerStream, Any], None]]


class Address(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int


class PeerPool:
    """Owns the listener on the peer port and all streams of this daemon.

    ``compressed`` must be the same for all daemons of a fleet. All streams share
    ``link``, which is not paced by default. Handlers are registered by message type
    with ``on``. They run inside the event loop's read callback, so they must not block.
    """

    def __init__(
        self,
        node: NodeId,
        key: bytes,
        compressed: bool = False,
        link: LinkSender | None = None,
    ) -> None:
        self.link = link or LinkSender()
        self.node = node
        self.key = key
        self.version = COMPRESSED_VERSION if compressed else PROTOCOL_VERSION
        self.handlers: MessageHandlers = {}
        self.streams: dict[NodeId, PeerStream] = {}
        self.streams_by_vm: dict[str, PeerStream] = {}
        self.dialing: dict[tuple[Address, NodeId | None], asyncio.Task] = {}
        self.opening: set[PeerStream] = set()
        # Two nodes that dial each other at the same time get two streams and use both.
        self.open: set[PeerStream] = set()
        self.waiting: set[PeerStream] = set()
        self.silence_checker: asyncio.Task | None = None
        self.counters: Counter[str] = Counter()
        self.closed_listeners: list[Callable[[PeerStream], None]] = []
        self.server: asyncio.Server | None = None
        self.closed_bytes_sent = 0
        self.closed_bytes_received = 0

    @property
    def bytes_sent(self) -> int:
        """The bytes written to all streams, including closed ones."""
        open_streams = {*self.open, *self.opening}
        return self.closed_bytes_sent + sum(s.bytes_sent for s in open_streams)

    @property
    def bytes_received(self) -> int:
        """The bytes read from all streams, including closed ones."""
        open_streams = {*self.open, *self.opening}
        return self.closed_bytes_received + sum(s.bytes_received for s in open_streams)

    def on(self, message_type: type, handler: Callable[[PeerStream, Any], None]):
        """Call ``handler(stream, message)`` for each message of ``message_type``."""
        self.handlers[message_type] = handler

    async def listen(self, address: Address) -> Address:
        """Listen for streams on ``address`` and return the bound address."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self._accept, *address)
        return Address(*self.server.sockets[0].getsockname()[:2])

    async def __aenter__(self) -> "PeerPool":
        self.silence_checker = asyncio.create_task(self._check_silent_streams())
        return self

    async def __aexit__(self, *error) -> None:
        if self.server is not None:
            self.server.close()
        self.silence_checker.cancel()
        for task in list(self.dialing.values()):
            task.cancel()
        for stream in [*self.open, *self.opening]:
            stream.close("this daemon is stopping")

    async def stream_to(
        self, address: Address, expected: NodeId | None = None
    ) -> PeerStream:
        """Return an open stream to a peer, dialing it if there is none.

        Raises ``StreamClosedError`` if the peer cannot be reached, does not know the
        shared key or is not the expected node. With ``ANY_INCARNATION``, only the VM
        of ``expected`` is checked.
        """
        if expected is not None:
            if expected.incarnation == ANY_INCARNATION:
                stream = self.streams_by_vm.get(expected.vm)
            else:
                stream = self.streams.get(expected)
            if stream is not None and stream.is_open:
                return stream
        task = self.dialing.get((address, expected))
        if task is None:
            task = asyncio.ensure_future(self._dial(address, expected))
            self.dialing[address, expected] = task
            task.add_done_callback(
                lambda done: self._on_dialed(address, expected, done)
            )
        return await asyncio.shield(task)

    def _on_dialed(
        self, address: Address, expected: NodeId | None, task: asyncio.Task
    ) -> None:
        self.dialing.pop((address, expected), None)
        if not task.cancelled():
            # Mark the exception as retrieved, since the waiting tasks may have been
            # cancelled; the failure has already been counted.
            task.exception()

    async def redial(self, address: Address, expected: NodeId) -> PeerStream:
        """Replace a stream that seems silent by a new one for all further messages.

        Calls on the old stream continue until it is closed as dead.
        """
        return await self._dial(address, expected)

    async def _check_silent_streams(self) -> None:
        """Ping or close the streams on which this side waits for the peer.

        A single task is cheaper than one timer for each of 479 streams.
        """
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SILENCE_CHECK_INTERVAL_S)
            now = loop.time()
            for stream in list(self.waiting):
                if not stream.check_silence(now):
                    self.waiting.discard(stream)

    async def _dial(self, address: Address, expected: NodeId | None) -> PeerStream:
        loop = asyncio.get_running_loop()
        handshake = Handshake(self.key, self.node, True, expected, self.version)
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                _, stream = await loop.create_connection(
                    lambda: self._new_stream(handshake), *address
                )
                await asyncio.shield(stream.opened)
        except (OSError, TimeoutError, OverflowError, ValueError) as error:
            # The last two are raised for an address that cannot exist.
            self.counters["dial_failures"] += 1
            raise StreamClosedError(f"cannot connect to {address}: {error!r}") from None
        return stream

    def _accept(self) -> PeerStream:
        handshake = Handshake(self.key, self.node, False, None, self.version)
        return self._new_stream(handshake)

    def _new_stream(self, handshake: Handshake) -> PeerStream:
        stream = PeerStream(
            handshake, self._on_message, self._on_closed, self.waiting.add, self.link
        )
        self.opening.add(stream)
        stream.opened.add_done_callback(lambda future: self._on_opened(stream, future))
        return stream

    def _on_opened(self, stream: PeerStream, future: asyncio.Future) -> None:
        self.opening.discard(stream)
        if future.cancelled() or future.exception() is not None:
            self.counters["handshake_failures"] += 1
            return
        if stream.is_open:
            self.streams[stream.peer] = stream
            self.streams_by_vm[stream.peer.vm] = stream
            self.open.add(stream)
            self.counters["streams_opened"] += 1

    def _on_closed(self, stream: PeerStream) -> None:
        self.counters["streams_closed"] += 1
        self.open.discard(stream)
        self.closed_bytes_sent += stream.bytes_sent
        self.closed_bytes_received += stream.bytes_received
        self.opening.discard(stream)
        if self.streams.get(stream.peer) is stream:
            del self.streams[stream.peer]
        if stream.peer is not None and self.streams_by_vm.get(stream.peer.vm) is stream:
            del self.streams_by_vm[stream.peer.vm]
        for listener in self.closed_listeners:
            listener(stream)

    def _on_message(self, stream: PeerStream, item: Any) -> None:
        handler = self.handlers.get(type(item))
        if handler is None:
            self.counters["unhandled_messages"] += 1
            return
        try:
            handler(stream, item)
        except Exception:
            # One message with odd values must not end the stream and its calls.
            self.counters["failed_messages"] += 1
            log.exception("message_failed", type=type(item).__name__)
