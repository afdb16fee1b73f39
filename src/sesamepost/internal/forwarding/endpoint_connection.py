"""One HTTP/1.1 connection to the local endpoint.

Endpoints may send a second response late, and ``aiohttp`` would take it for the
response to the next request. This module uses ``h11`` instead and matches responses to
requests by their id.
"""

import asyncio
import math
from dataclasses import dataclass

import h11

from sesamepost.errors import ErrorKind, RouterError
from sesamepost.internal.clock import boottime
from sesamepost.internal.dispatch.headers import forwarded_headers
from sesamepost.internal.dispatch.statuses import is_final_status
from sesamepost.internal.forwarding.answer_budget import AnswerBudget
from sesamepost.internal.forwarding.parse_queue import MAX_PART_S, ParseQueue
from sesamepost.internal.forwarding.protocol_names import HeaderNames

MAX_ANSWER_BYTES = 8 << 20
MAX_HEADER_BYTES = 64 << 10
# Bytes beyond the body: headers, interim responses and chunk framing. Framing may add
# as many bytes as the body has; the response of an endpoint that sends more is invalid.
MAX_OVERHEAD_BYTES = 2 * MAX_HEADER_BYTES
# The parser gets at most this much of a head or of chunks at a time, since limits are
# checked only between these slices. It only copies the bytes of other bodies.
PARSE_SLICE_BYTES = 8 << 10
# An ordinary response has fewer events, so that it needs no reading of the clock.
EVENTS_PER_CLOCK_CHECK = 16
# A parsed line takes 2 us and 400 bytes, however short it is.
MAX_HEADER_LINES = 1000
# Parsing a chunk or a response takes about 15 us, however short it is.
MAX_INTERIM_RESPONSES = 32
MAX_SHORT_CHUNKS = 4096
# Further chunks must have this size on average.
MIN_MEAN_CHUNK_BYTES = 128
# Responses to earlier requests that are skipped while waiting for one response.
MAX_SKIPPED_ANSWERS = 8
# A connection with this many failed requests is closed, as it remembers their ids.
MAX_FAILED_IDS = 256
FIRST_FAILURE_STATUS = 400


@dataclass(slots=True)
class EndpointResponse:
    """A complete response; ``headers`` are pairs of bytes with lower-case names."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes

    def forwarded(self) -> list[tuple[str, str]]:
        """Return the headers that are passed on to the caller."""
        return [(name, value) for name, _, value in forwarded_headers(self.headers)]

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string if it is absent."""
        lower_name = name.lower().encode()
        for field, value in self.headers:
            if field == lower_name:
                return value.decode("latin-1")
        return ""


class EndpointConnection(asyncio.Protocol):
    """Sends one request at a time and reads the response that belongs to it.

    ``budget`` bounds the memory of this response and of others together, and
    ``parse_queue`` the time for which parsing them stops the event loop.
    """

    # Whether the connection is kept after a response without the id of its request.
    reuses_without_id = False

    def __init__(
        self,
        names: HeaderNames,
        max_body_bytes: int = MAX_ANSWER_BYTES,
        budget: AnswerBudget | None = None,
        parse_queue: ParseQueue | None = None,
    ) -> None:
        self.names = names
        self.max_body_bytes = max_body_bytes
        self.budget = budget or AnswerBudget()
        self.parse_queue = parse_queue or ParseQueue()
        # Reading stops while the response does not fit into the budget, and while
        # received bytes are still to be parsed.
        self.is_held_back = False
        self.is_queued = False
        self.is_reading = True
        self.last_slice = b""
        self.unparsed = memoryview(b"")
        self.transport: asyncio.Transport | None = None
        self.parser: h11.Connection | None = None
        self.request: h11.Request | None = None
        self.request_id = ""
        self.waiter: asyncio.Future | None = None
        self.head: h11.Response | None = None
        self.body = bytearray()
        self.header_lines = 0
        self.chunk_count = 0
        self.interim_responses = 0
        # Bytes since the previous response, and responses skipped for this request.
        self.received_bytes = 0
        self.skipped_for_request = 0
        self.is_open = False
        # When the last request had been handed to the transport.
        self.sent_at = 0.0
        self.idle_since = 0.0
        self.idle_limit_s: float | None = None
        self.answers = 0
        self.skipped_answers = 0
        # A copy of a failed response may come late, and a further attempt of the same
        # request has the same id, so it is sent on another connection.
        self.failed_ids: set[str] = set()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport of the new connection."""
        self.transport = transport
        self.is_open = True

    def data_received(self, data: bytes) -> None:
        """Parse response data; close the connection if no request is in flight."""
        if self.waiter is None or self.waiter.done():
            self.close()
            return
        self.received_bytes += len(data)
        if self.unparsed:
            self.unparsed = memoryview(bytes(self.unparsed) + data)
        else:
            self._feed(data[:PARSE_SLICE_BYTES])
            self.unparsed = memoryview(data)[PARSE_SLICE_BYTES:]
        now = boottime()
        if self.is_queued or self.parse_queue.is_busy(now):
            self._queue_parsing()
        else:
            self._parse(now)
        if not self.waiter.done():
            self.budget.charge(self, self.received_bytes)

    def _queue_parsing(self) -> None:
        if not self.is_queued:
            self.is_queued = True
            self._update_reading()
            self.parse_queue.add(self._parse_queued)

    def _parse_queued(self) -> None:
        self.is_queued = False
        if self.waiter is not None and not self.waiter.done():
            self._parse(boottime())
        self._update_reading()

    def _parse(self, now: float) -> None:
        """Parse received bytes for a short time; queue the parsing of the others."""
        try:
            is_parsed = self._read_events(now + MAX_PART_S)
        except h11.RemoteProtocolError as error:
            self._fail(ErrorKind.ANSWER_CUT_OFF, f"invalid HTTP response: {error}")
            is_parsed = True
        self.parse_queue.note_parsed(boottime() - now)
        if is_parsed:
            self._check_overhead()
        else:
            self._queue_parsing()

    def _check_overhead(self) -> None:
        body_size = len(self.body)
        if self.received_bytes - body_size > MAX_OVERHEAD_BYTES + body_size:
            detail = (
                f"received {self.received_bytes} bytes for a body of {body_size} bytes"
            )
            self._fail(ErrorKind.ANSWER_CUT_OFF, detail)

    def eof_received(self) -> bool:
        """Handle the end of the stream, which completes a response without a length.

        Reading stops while bytes are to be parsed, so all have been parsed by now.
        """
        if self.waiter is not None:
            try:
                self.parser.receive_data(b"")
                self._read_events(math.inf)
            except h11.RemoteProtocolError as error:
                self._fail(
                    self._disconnect_error_kind(), f"the response ended early: {error}"
                )
        self.close()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the request in flight, which may have run."""
        self.is_open = False
        self._fail(self._disconnect_error_kind(), f"the endpoint closed: {error!r}")

    def hold_back(self) -> None:
        """Leave further bytes unread, since all responses together are too large."""
        self.is_held_back = True
        self._update_reading()

    def read_on(self) -> None:
        """Read further bytes after ``hold_back``."""
        self.is_held_back = False
        self._update_reading()

    def _update_reading(self) -> None:
        is_reading = not (self.is_held_back or self.is_queued)
        if is_reading == self.is_reading or not self.is_open:
            return
        self.is_reading = is_reading
        if is_reading:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def close(self) -> None:
        """Close the connection at once; the endpoint drops the request in flight."""
        self.is_open = False
        if self.transport is not None:
            self.transport.abort()

    async def send(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        request_id: str,
    ) -> EndpointResponse:
        """Return the response; raise ``RouterError`` if the outcome is unknown."""
        self.request_id = request_id
        self.skipped_for_request = 0
        self.request = h11.Request(method=method, target=target, headers=headers)
        self.waiter = asyncio.get_running_loop().create_future()
        data = self._start_parser()
        if body:
            data += self.parser.send(h11.Data(data=body))
        data += self.parser.send(h11.EndOfMessage())
        self.transport.write(data)
        self.sent_at = boottime()
        try:
            return await self.waiter
        except BaseException:
            # Also on cancellation: closing makes the endpoint stop its work.
            self.close()
            raise
        finally:
            self.waiter = None
            self.body = bytearray()
            self.last_slice = b""
            self.unparsed = memoryview(b"")
            self.budget.release(self)
            self.read_on()
            if self.parser.our_state is not h11.DONE:
                self.close()

    def _start_parser(self) -> bytes:
        self.parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        self.head = None
        self.body = bytearray()
        self.last_slice = b""
        self.header_lines = 0
        self.chunk_count = 0
        self.interim_responses = 0
        self.received_bytes = 0
        return self.parser.send(self.request)

    def _read_events(self, until: float) -> bool:
        """Parse received bytes; return whether all were parsed before ``until``."""
        count = 0
        while not self.waiter.done():
            event = self.parser.next_event()
            match event:
                case h11.InformationalResponse():
                    self._count_interim_response()
                case h11.Response() if is_final_status(event.status_code):
                    self.head = event
                case h11.Response():
                    detail = f"invalid status {event.status_code}"
                    self._fail(ErrorKind.ANSWER_CUT_OFF, detail)
                case h11.Data():
                    self._append_body(event.data)
                    if event.chunk_end:
                        self._count_chunk()
                case h11.EndOfMessage():
                    self._complete()
                case h11.NEED_DATA if self.unparsed:
                    self._check_header_lines()
                    self._feed_slice()
                case h11.ConnectionClosed() | h11.NEED_DATA | h11.PAUSED:
                    self._check_header_lines()
                    return True
            count += 1
            if count % EVENTS_PER_CLOCK_CHECK == 0 and boottime() >= until:
                return self.waiter.done()
        return True

    def _feed(self, data: bytes) -> None:
        self.last_slice = data
        self.parser.receive_data(data)

    def _feed_slice(self) -> None:
        size = len(self.unparsed)
        if self.head is None or _is_chunked(self.head):
            size = PARSE_SLICE_BYTES
        self._feed(bytes(self.unparsed[:size]))
        self.unparsed = self.unparsed[size:]

    def _check_header_lines(self) -> None:
        """Fail if an incomplete head has too many lines; it is parsed as a whole."""
        if self.head is not None:
            return
        self.header_lines += self.last_slice.count(b"\n")
        self.last_slice = b""
        if self.header_lines > MAX_HEADER_LINES:
            self._fail(ErrorKind.ANSWER_CUT_OFF, f"{self.header_lines} header lines")

    def _count_interim_response(self) -> None:
        self.interim_responses += 1
        if self.interim_responses > MAX_INTERIM_RESPONSES:
            self._fail(ErrorKind.ANSWER_CUT_OFF, "too many interim responses")

    def _count_chunk(self) -> None:
        self.chunk_count += 1
        long_chunks = len(self.body) // MIN_MEAN_CHUNK_BYTES
        if self.chunk_count > MAX_SHORT_CHUNKS + long_chunks:
            detail = f"{self.chunk_count} chunks for {len(self.body)} bytes"
            self._fail(ErrorKind.ANSWER_CUT_OFF, detail)

    def _append_body(self, data: bytes | bytearray) -> None:
        size = len(self.body) + len(data)
        if size > self.max_body_bytes:
            self._fail(ErrorKind.ANSWER_TOO_LARGE, f"more than {size} bytes")
            self.close()
            return
        self.body += data

    def _complete(self) -> None:
        answer = EndpointResponse(
            self.head.status_code, list(self.head.headers), bytes(self.body)
        )
        trailing, closed = self.parser.trailing_data
        is_reusable = self.parser.their_state is h11.DONE and not closed
        answered_id = answer.header(self.names.request_id)
        if answered_id and answered_id != self.request_id:
            self._skip_answer(trailing, is_reusable)
            return
        self.head = None
        self.answers += 1
        if answer.status >= FIRST_FAILURE_STATUS:
            self.failed_ids.add(answered_id)
        # A copy of a response without an id could not be told from the next response.
        is_traceable = self.reuses_without_id or (
            answered_id and len(self.failed_ids) <= MAX_FAILED_IDS
        )
        if not is_reusable or trailing or self.unparsed or not is_traceable:
            self.close()
        self._parse_keep_alive(answer.header("keep-alive"))
        self.waiter.set_result(answer)

    def _skip_answer(self, trailing: bytes, is_reusable: bool) -> None:
        """Drop a response to an earlier request and parse the bytes after it."""
        self.skipped_answers += 1
        self.skipped_for_request += 1
        if not is_reusable or self.skipped_for_request > MAX_SKIPPED_ANSWERS:
            self._fail(
                ErrorKind.OUTCOME_UNKNOWN,
                "the response carries the id of another request",
            )
            self.close()
            return
        # The request is not sent again, but the new parser must expect its response.
        self._start_parser()
        self.unparsed = memoryview(trailing + bytes(self.unparsed))
        self.received_bytes = len(self.unparsed)

    def _parse_keep_alive(self, value: str) -> None:
        for part in value.split(","):
            name, _, number = part.strip().partition("=")
            if name == "timeout" and number.isdigit():
                self.idle_limit_s = float(number)

    def _disconnect_error_kind(self) -> ErrorKind:
        return ErrorKind.ANSWER_CUT_OFF if self.head else ErrorKind.OUTCOME_UNKNOWN

    def _fail(self, kind: ErrorKind, detail: str) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(RouterError(kind, detail))


def _is_chunked(head: h11.Response) -> bool:
    return any(name == b"transfer-encoding" for name, _ in head.headers)
