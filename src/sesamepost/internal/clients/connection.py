"""One connection of an HTTP server that counts what it holds for its client."""

import asyncio
from collections import deque
from enum import IntEnum

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest

from sesamepost.internal.clients.budget import FREE_BYTES
from sesamepost.internal.clients.refusals import RefusalCause

# A request is copied on its way to an endpoint or to another node.
REQUEST_COPIES = 3
# The objects of a request with a head of up to this size; the fields of a larger one
# are counted.
REQUEST_BYTES = 4 << 10
# aiohttp buffers up to twice this much of a body that is not read yet, in at most one
# chunk for each 16 bytes of it.
READ_BUFFER_BYTES = 64 << 10
# The objects of a chunk, and the fewest bytes that frame it on the wire.
CHUNK_BYTES = 96
MIN_CHUNK_FRAMING_BYTES = 5
MAX_CHUNKS_BYTES = READ_BUFFER_BYTES // 16 * CHUNK_BYTES
# The limit of a head counts the names and values of its fields; the first line and the
# framing of the fields come on top.
HEAD_FRAMING_BYTES = 8 << 10
FIRST_SERVER_ERROR = 500
END_OF_HEAD = b"\r\n\r\n"
# Fewer bytes of a body or of an answer are no progress.
PROGRESS_BYTES = 4 << 10
CLOSING_ANSWER = "HTTP/1.1 {} {}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


class Phase(IntEnum):
    """What a connection waits for, in the order in which connections are closed."""

    HEAD = 0
    BODY = 1
    ANSWER = 2
    IDLE = 3
    # The client has nothing to do.
    AT_WORK = 4


class RequestStalledError(Exception):
    """A request was given up, since its client sends no more of its body."""


class PendingRequest:
    """A request that was begun and has no answer yet."""

    __slots__ = ("first_body_bytes", "head_bytes", "is_chunked", "payload", "received")

    def __init__(
        self, message: RawRequestMessage, payload: StreamReader, max_head_bytes: int
    ) -> None:
        self.payload = payload
        # Bytes that were received since the head, without those that came with it.
        self.received = 0
        self.first_body_bytes = payload.total_bytes
        self.head_bytes = REQUEST_BYTES
        self.is_chunked = False
        # A message that could not be parsed is of another type and has no fields.
        if isinstance(message, RawRequestMessage):
            if max_head_bytes > REQUEST_BYTES:
                fields = sum(len(n) + len(v) for n, v in message.raw_headers)
                self.head_bytes += REQUEST_COPIES * (fields + len(message.path))
            self.is_chunked = message.chunked

    @property
    def size(self) -> int:
        """What the request uses, with its copies and the objects of its chunks."""
        body_bytes = self.payload.total_bytes
        size = self.head_bytes + REQUEST_COPIES * body_bytes
        if self.is_chunked:
            framing = self.received - (body_bytes - self.first_body_bytes)
            chunks = max(0, framing) // MIN_CHUNK_FRAMING_BYTES
            size += min(MAX_CHUNKS_BYTES, chunks * CHUNK_BYTES)
        return size


def _bytes_behind_head(data: bytes) -> int:
    """Return how many bytes of a read follow the head that was completed in it."""
    end = data.rfind(END_OF_HEAD)
    if end >= 0:
        return len(data) - end - len(END_OF_HEAD)
    # The end of the head began in the read before.
    return max(0, len(data) - len(END_OF_HEAD) + 1)


class BoundedConnection(RequestHandler):
    """Charges a budget for what the client makes the server hold.

    ``manager`` is the ``BoundedServer``, which closes connections that wait for their
    client for too long.
    """

    __slots__ = (
        "answer_bytes",
        "client",
        "head_bytes",
        "is_expired",
        "is_held_back",
        "is_input_refused",
        "is_writing",
        "last_payload",
        "noted_requests",
        "pending",
        "progress_mark",
        "unparsed_bytes",
        "waiting_since",
        "writer",
    )

    def __init__(self, manager, **options) -> None:
        super().__init__(manager, read_bufsize=READ_BUFFER_BYTES, **options)
        self.client = ""
        # Bytes of an unfinished head and of the empty lines before it.
        self.head_bytes = 0
        # Received bytes that wait until the parser goes on.
        self.unparsed_bytes = 0
        self.last_payload = EMPTY_PAYLOAD
        self.noted_requests = 0
        self.pending: deque[PendingRequest] = deque()
        # Answers that are being written or wait behind others.
        self.answer_bytes = 0
        self.is_writing = False
        self.writer: AbstractStreamWriter | None = None
        self.is_held_back = False
        # Whether further bytes are dropped, since a request was given up.
        self.is_input_refused = False
        # The last progress of the client, or the end of the server's own work.
        self.waiting_since = self._loop.time()
        # The size of the body, or of the sent part of the answer, that is progress.
        self.progress_mark = 0
        # Whether the last check found that the client has exceeded a time limit.
        self.is_expired = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close the connection at once if there are too many."""
        peer = transport.get_extra_info("peername")
        self.client = str(peer[0]) if peer else ""
        if not self._manager.admit(self):
            self._force_close = True
            transport.abort()
            return
        super().connection_made(transport)

    def connection_lost(self, error: BaseException | None) -> None:
        """Release what the connection held."""
        server = self._manager
        super().connection_lost(error)
        if server is not None:
            server.budget.release(self)

    def data_received(self, data: bytes) -> None:
        """Parse the data, and charge what it takes."""
        if self.is_input_refused:
            return
        was_reading_body = not self.last_payload.is_eof()
        super().data_received(data)
        if self._manager is None or self._force_close:
            return
        size = len(data)
        parsed_bytes = self.head_bytes + self.unparsed_bytes + size
        is_paused = self._buffer_paused or self._reading_paused
        self.unparsed_bytes = self.unparsed_bytes + size if is_paused else 0
        if self._request_count > self.noted_requests:
            self._note_requests(parsed_bytes)
            if not is_paused and self.last_payload is EMPTY_PAYLOAD:
                self.head_bytes = _bytes_behind_head(data)
                self._check_head_size()
        elif self._upgraded:
            # aiohttp keeps these bytes until the request before them is answered.
            self.unparsed_bytes += size
        elif was_reading_body or not self.last_payload.is_eof():
            self._note_body(size)
        elif size and not is_paused:
            self._note_head(size)
        self.charge()

    def _note_requests(self, max_head_bytes: int) -> None:
        count = self._request_count - self.noted_requests
        self.noted_requests = self._request_count
        for message, payload in list(self._messages)[-count:]:
            self.pending.append(PendingRequest(message, payload, max_head_bytes))
            self.last_payload = payload
            if not isinstance(message, RawRequestMessage):
                # The parser would find another error in each further block.
                self.is_input_refused = True
                self._manager.note_malformed(self)
        self.head_bytes = 0
        self._note_progress(self.last_payload.total_bytes + PROGRESS_BYTES)

    def _note_body(self, size: int) -> None:
        payload = self.last_payload
        if self.pending and self.pending[-1].payload is payload:
            self.pending[-1].received += size
        if payload.is_eof() or payload.total_bytes >= self.progress_mark:
            self._note_progress(payload.total_bytes + PROGRESS_BYTES)

    def _note_head(self, size: int) -> None:
        if self.head_bytes == 0:
            self._note_progress(0)
        self.head_bytes += size
        self._check_head_size()

    def _check_head_size(self) -> None:
        limit = self._manager.limits().header_bytes + HEAD_FRAMING_BYTES
        if self.head_bytes > limit:
            self._manager.refuse(self, RefusalCause.HEAD_TOO_LARGE)

    def _note_progress(self, mark: int) -> None:
        self.waiting_since = self._loop.time()
        self.progress_mark = mark
        self.is_expired = False

    def charge(self) -> None:
        """Charge what the connection holds now."""
        if self.transport is None or self._manager is None:
            return
        size = self.head_bytes + self.unparsed_bytes + self.answer_bytes
        for request in self.pending:
            size += request.size
        may_wait = (
            len(self.pending) > 1
            or self.head_bytes > 0
            or not self.last_payload.is_eof()
        )
        self._manager.charge(self, size, may_wait)

    async def finish_response(
        self, request: BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write the answer, which is held until the client has read most of it."""
        if self.pending:
            self.pending.popleft()
        size = body_size(resp)
        self.answer_bytes += size
        self.is_writing = True
        self.writer = request.writer
        self._note_progress(0)
        if size > FREE_BYTES:
            self.charge()
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self.answer_bytes -= size
            self.is_writing = False
            if self._request_count > self.noted_requests:
                # Bytes behind a request for an upgrade are parsed by now.
                self._note_requests(self.unparsed_bytes)
                self.unparsed_bytes = 0
            self._note_progress(self.last_payload.total_bytes + PROGRESS_BYTES)
            if self.is_input_refused and not self.pending:
                self.close()
            self.charge()

    def handle_error(
        self,
        request: BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return a short answer: the message may repeat all that the client sent."""
        if exc is not None and status >= FIRST_SERVER_ERROR:
            self._manager.note_failure(exc)
        if request.writer.output_size > 0:
            raise ConnectionError("an answer was begun already")
        response = web.Response(status=status, text=f"{status}\n")
        response.force_close()
        return response

    @property
    def phase(self) -> Phase:
        """What the connection waits for."""
        if self.is_writing:
            return Phase.ANSWER
        if not self.last_payload.is_eof():
            return Phase.BODY
        if self.has_work or self.pending:
            return Phase.AT_WORK
        if self.head_bytes or not self.noted_requests:
            return Phase.HEAD
        return Phase.IDLE

    @property
    def has_work(self) -> bool:
        """Whether a complete request is being answered or waits for its turn."""
        return self._request_in_progress or bool(self._messages)

    def waiting_s(self, now: float) -> float:
        """Return for how long the client has made no progress; 0 if it need not."""
        phase = self.phase
        if phase is Phase.AT_WORK or (phase is Phase.BODY and self._is_unread):
            return 0.0
        if phase is Phase.ANSWER:
            self._note_written()
        return now - self.waiting_since

    @property
    def _is_unread(self) -> bool:
        """Whether the server itself does not read what the client sends."""
        is_paused = self._reading_paused or self._buffer_paused
        return is_paused or self.is_held_back or self.is_input_refused

    def _note_written(self) -> None:
        """Count as progress what the client has read since the last check."""
        if self.transport is None:
            return
        unwritten = self.transport.get_write_buffer_size()
        sent = self.writer.output_size - unwritten
        if sent >= self.progress_mark:
            self._note_progress(sent + PROGRESS_BYTES)

    def hold_back(self) -> None:
        """Leave further bytes unread."""
        self.is_held_back = True
        self._pause_transport_reading()

    def read_on(self) -> None:
        """Read further bytes, for which the client gets new time."""
        self.is_held_back = False
        self._note_progress(self.progress_mark)
        if not (self._reading_paused or self._buffer_paused):
            self._resume_transport_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Read on after a pause; each read of a body calls this, paused or not."""
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def _resume_transport_reading(self) -> None:
        if not self.is_held_back:
            super()._resume_transport_reading()

    def give_up_body(self) -> None:
        """Answer the request whose body is incomplete with an error, in its turn."""
        self.is_input_refused = True
        self.last_payload.set_exception(RequestStalledError())

    def give_up_head(self, status: int, reason: str) -> None:
        """Answer an incomplete head, or close after the answers to earlier requests."""
        self.is_input_refused = True
        is_answering = self.has_work or bool(self.pending) or self.is_writing
        if is_answering or self.transport is None:
            return
        self.transport.write(CLOSING_ANSWER.format(status, reason).encode())
        self.force_close()

    def abort(self) -> None:
        """Close the connection at once and drop what was not written."""
        transport = self.transport
        self.force_close()
        if transport is not None:
            transport.abort()


def body_size(response: web.StreamResponse) -> int:
    """Return the size of the body of an answer that is held in memory."""
    body = getattr(response, "body", None)
    return len(body) if isinstance(body, bytes | bytearray) else 0
