"""A single stream between two daemons."""

import asyncio
import math
import socket
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress
from typing import Any

from sesamepost.internal.clock import boottime
from sesamepost.internal.identity import NodeId
from sesamepost.internal.wire.compression import StreamCompression
from sesamepost.internal.wire.frames import (
    MAX_FRAME_BYTES,
    FragmentAssembler,
    FrameReader,
    encode_frame,
    encode_frames,
)
from sesamepost.internal.wire.handshake import HANDSHAKE_TIMEOUT_S, Handshake
from sesamepost.internal.wire.link import CONTROL_CLASS, BulkMessage
from sesamepost.internal.wire.link_sender import LinkSender
from sesamepost.internal.wire.messages import (
    COMPRESSED_VERSION,
    Answer,
    Fragment,
    Hello,
    Ping,
    Pong,
    Proof,
    ProtocolError,
    Refusal,
    decode,
    encode,
)

PING_AFTER_SILENCE_S = 1.0
CLOSE_AFTER_SILENCE_S = 2.5
WRITE_HIGH_WATER_BYTES = 4 << 20
# On a narrow link, the kernel takes no more bytes than this ahead of those sent, since
# small messages would wait behind them.
NARROW_LINK_UNSENT_BYTES = 16 << 10
# The longest time for which messages are dispatched in one turn of the event loop. A
# read of 256 KiB may decompress to a hundred times as much.
MAX_DISPATCH_S = 0.005
# All calls of a stream share one timer, since a timer for each call would cost several
# microseconds per call.
DEADLINE_CHECK_INTERVAL_S = 0.02


class StreamClosedError(Exception):
    """The stream closed before the answer arrived, so the outcome is unknown."""


class PeerStream(asyncio.Protocol):
    """Exchanges messages with one peer and matches answers to calls.

    Call ids come from a counter of this stream and are never reused. An answer whose id
    does not belong to an outstanding call is counted and dropped, so a late or
    duplicate answer can never reach another caller.
    """

    def __init__(
        self,
        handshake: Handshake,
        on_message: Callable[["PeerStream", Any], None],
        on_closed: Callable[["PeerStream"], None],
        on_waiting: Callable[["PeerStream"], None] = lambda stream: None,
        link: LinkSender | None = None,
    ) -> None:
        # Shared by all streams of this node.
        self.link = link or LinkSender()
        self.handshake = handshake
        self.on_message = on_message
        self.on_closed = on_closed
        self.on_waiting = on_waiting
        self.loop = asyncio.get_running_loop()
        self.opened: asyncio.Future[NodeId] = self.loop.create_future()
        self.transport: asyncio.Transport | None = None
        self.reader = FrameReader()
        self.compression: StreamCompression | None = None
        self.assembler = FragmentAssembler()
        # Dispatches one received message at each step.
        self.received: Iterator[None] = iter(())
        self.is_reading_paused = False
        self.calls: dict[int, asyncio.Future] = {}
        self.deadlines: dict[int, float] = {}
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.last_call_id = 0
        self.last_sequence = 0
        self.pending_frames: list[bytes] = []
        self.flush_scheduled = False
        self.writable = asyncio.Event()
        self.writable.set()
        self.waiting_since: float | None = None
        self.handshake_timer: asyncio.TimerHandle | None = None
        self.unmatched_answers = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.closed_reason: str | None = None

    @property
    def peer(self) -> NodeId | None:
        """The peer's identity, or None until it has proved the shared key."""
        if not self.handshake.proven:
            return None
        return self.handshake.peer.node

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return self.handshake.proven and self.closed_reason is None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Send the ``Hello`` and start the timeout of the handshake."""
        self.transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        if self.link.is_paced:
            _limit_unsent(transport)
        self._write(encode_frame(encode(self.handshake.hello)))
        self.handshake_timer = self.loop.call_later(
            HANDSHAKE_TIMEOUT_S, self._check_handshake_timeout
        )

    def data_received(self, data: bytes) -> None:
        """Decode and dispatch received messages; close the stream on invalid data."""
        self.waiting_since = self.loop.time() if self.calls else None
        self.bytes_received += len(data)
        try:
            if not self.handshake.proven:
                data = self._read_handshake(data)
        except ProtocolError as error:
            self.close(str(error))
            return
        parts = [data]
        if self.compression is not None:
            parts = self.compression.decompress(data)
        self.received = self._dispatch_frames(parts)
        self._dispatch()

    def connection_lost(self, error: Exception | None) -> None:
        """Fail all outstanding calls, since the connection is gone."""
        self._tear_down(str(error) if error else "the peer closed the connection")

    def pause_writing(self) -> None:
        """Clear ``writable`` until the peer has read more of the sent data."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Set ``writable``, since the peer has read most of the sent data."""
        self.writable.set()

    def send(
        self,
        item: Any,
        expects_reply: bool = True,
        link_class: int = CONTROL_CLASS,
    ) -> BulkMessage | None:
        """Queue a message; all messages of a loop iteration are written together.

        The peer is not pinged if it stays silent after a message without a reply. Large
        messages of all streams are written in the order of ``link_class``; a handle of
        such a message is returned.
        """
        if self.closed_reason is not None:
            raise StreamClosedError(self.closed_reason)
        if expects_reply:
            return self.send_encoded(encode(item), link_class)
        return self._queue(encode(item), link_class)

    def send_encoded(
        self, payload: bytes, link_class: int = CONTROL_CLASS
    ) -> BulkMessage | None:
        """Queue an encoded message."""
        if self.waiting_since is None:
            self.waiting_since = self.loop.time()
            self.on_waiting(self)
        return self._queue(payload, link_class)

    def _queue(
        self, payload: bytes, link_class: int = CONTROL_CLASS
    ) -> BulkMessage | None:
        self.last_sequence += 1
        frames = encode_frames(payload, self.last_sequence, self.link.fragment_bytes)
        message = None
        if len(frames) > 1:
            message = self.link.add(self, frames, link_class)
        else:
            self.pending_frames.extend(frames)
        if not self.flush_scheduled:
            self.flush_scheduled = True
            self.loop.call_soon(self._flush)
        return message

    def new_call(self, timeout_s: float = math.inf) -> tuple[int, asyncio.Future]:
        """Return a new call id and a future for its ``Answer`` or ``Refusal``.

        The future fails with ``TimeoutError`` at most ``DEADLINE_CHECK_INTERVAL_S``
        after ``timeout_s`` has passed.
        """
        if self.closed_reason is not None:
            raise StreamClosedError(self.closed_reason)
        self.last_call_id += 1
        future = self.loop.create_future()
        self.calls[self.last_call_id] = future
        if timeout_s != math.inf:
            self.deadlines[self.last_call_id] = self.loop.time() + timeout_s
            if self.deadline_timer is None:
                self._schedule_deadline_check()
        return self.last_call_id, future

    def forget_call(self, call_id: int) -> None:
        """Stop waiting for an answer; drop it if it still arrives."""
        self.calls.pop(call_id, None)
        self.deadlines.pop(call_id, None)

    def close(self, reason: str) -> None:
        """Close the connection immediately and fail all outstanding calls."""
        if self.transport is not None:
            self.transport.abort()
        self._tear_down(reason)

    def _read_handshake(self, data: bytes) -> bytes:
        """Process the frames of the handshake; return the bytes that follow it."""
        self.reader.buffer += data
        while not self.handshake.proven and self.closed_reason is None:
            payload = self.reader.pop_frame()
            if payload is None:
                return b""
            self._receive_handshake(decode(payload))
        remaining = bytes(self.reader.buffer)
        self.reader.buffer.clear()
        return remaining

    def _dispatch(self) -> None:
        """Dispatch messages for a short time, and the others in later turns."""
        end = boottime() + MAX_DISPATCH_S
        try:
            for _ in self.received:
                if self.closed_reason is not None:
                    return
                if boottime() >= end:
                    self._pause_dispatch()
                    return
        except ProtocolError as error:
            self.close(str(error))
            return
        if self.is_reading_paused and self.closed_reason is None:
            self.is_reading_paused = False
            self.transport.resume_reading()

    def _pause_dispatch(self) -> None:
        """Continue in the next turn; read no further bytes until then."""
        if not self.is_reading_paused:
            self.is_reading_paused = True
            self.transport.pause_reading()
        self.loop.call_soon(self._continue_dispatch)

    def _continue_dispatch(self) -> None:
        if self.closed_reason is None:
            # The peer is not silent while its messages wait here.
            self.waiting_since = self.loop.time() if self.calls else None
            try:
                self._dispatch()
            except Exception as error:
                # Unlike in ``data_received``, the event loop would not close it.
                self.close(f"a message could not be handled: {error!r}")
                raise

    def _dispatch_frames(self, parts: Iterable[bytes]) -> Iterator[None]:
        """Dispatch the message in each complete frame and yield after it."""
        for part in parts:
            for payload in self.reader.feed(part):
                self._receive_message(payload)
                yield

    def _receive_message(self, payload: bytes) -> None:
        item = decode(payload)
        if type(item) is Fragment:
            whole = self.assembler.add(item)
            if whole is None:
                return
            item = decode(whole)
        message_type = type(item)
        if message_type is Answer or message_type is Refusal:
            future = self.calls.pop(item.id, None)
            if future is None or future.done():
                self.unmatched_answers += 1
                return
            future.set_result(item)
        elif message_type is Ping:
            self._queue(encode(Pong(item.nonce)))
        elif message_type is Pong:
            return
        elif message_type is Hello or message_type is Proof or message_type is Fragment:
            raise ProtocolError(f"{message_type.__name__} is not allowed at this point")
        else:
            self.on_message(self, item)

    def _receive_handshake(self, item: Any) -> None:
        reply = self.handshake.receive(item)
        if reply is not None:
            self._write(encode_frame(encode(reply)))
        if not self.handshake.proven:
            return
        self.reader.limit = MAX_FRAME_BYTES
        if self.handshake.hello.version == COMPRESSED_VERSION:
            self.compression = StreamCompression()
        self.handshake_timer.cancel()
        self.opened.set_result(self.handshake.peer.node)

    def _flush(self) -> None:
        """Write the queued small messages, then some fragments of large ones.

        A message of several megabytes would otherwise delay the small ones behind it.
        """
        self.flush_scheduled = False
        if self.closed_reason is not None:
            return
        if self.pending_frames:
            data = b"".join(self.pending_frames)
            self.pending_frames.clear()
            self._write(data)
        self.link.flush()

    def write_frame(self, frame: bytes) -> int:
        """Write a frame of a large message; return the number of written bytes."""
        return self._write_bytes(frame)

    def write_buffer_bytes(self) -> int:
        """Return how much written data the kernel has not taken yet."""
        return self.transport.get_write_buffer_size()

    def _write(self, data: bytes) -> None:
        self.link.note_small(self._write_bytes(data))

    def _write_bytes(self, data: bytes) -> int:
        if self.compression is not None:
            data = self.compression.compress(data)
        self.bytes_sent += len(data)
        self.transport.write(data)
        return len(data)

    def _check_handshake_timeout(self) -> None:
        if not self.handshake.proven:
            self.close(
                f"the handshake was not completed within {HANDSHAKE_TIMEOUT_S} s"
            )

    def check_silence(self, now: float) -> bool:
        """Ping or close a silent stream; return whether it still waits for the peer.

        The peer answers at least the ping, so continued silence means that the
        connection or the peer is dead.
        """
        if self.waiting_since is None or self.closed_reason is not None:
            return False
        silence = now - self.waiting_since
        if silence > CLOSE_AFTER_SILENCE_S:
            self.close(f"nothing received for {silence:.1f} s")
            return False
        if silence > PING_AFTER_SILENCE_S:
            self.send(Ping(self.last_call_id))
        return True

    def _schedule_deadline_check(self) -> None:
        self.deadline_timer = self.loop.call_later(
            DEADLINE_CHECK_INTERVAL_S, self._check_deadlines
        )

    def _check_deadlines(self) -> None:
        self.deadline_timer = None
        now = self.loop.time()
        expired = [
            call_id for call_id, deadline in self.deadlines.items() if deadline <= now
        ]
        for call_id in expired:
            del self.deadlines[call_id]
            future = self.calls.pop(call_id, None)
            if future is not None and not future.done():
                future.set_exception(TimeoutError())
        if self.deadlines:
            self._schedule_deadline_check()

    def _tear_down(self, reason: str) -> None:
        if self.closed_reason is not None:
            return
        self.closed_reason = reason
        if self.handshake_timer is not None:
            self.handshake_timer.cancel()
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
        self.link.drop(self)
        self.deadlines.clear()
        self.writable.set()
        if not self.opened.done():
            self.opened.set_exception(StreamClosedError(reason))
            self.opened.exception()
        calls, self.calls = self.calls, {}
        for future in calls.values():
            if not future.done():
                future.set_exception(StreamClosedError(reason))
        self.on_closed(self)


def _limit_unsent(transport: asyncio.Transport) -> None:
    connection = transport.get_extra_info("socket")
    option = getattr(socket, "TCP_NOTSENT_LOWAT", None)
    if connection is None or option is None:
        return
    with suppress(OSError):
        connection.setsockopt(socket.IPPROTO_TCP, option, NARROW_LINK_UNSENT_BYTES)
