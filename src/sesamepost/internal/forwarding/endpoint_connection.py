"""One HTTP/1.1 connection to the local endpoint.

Endpoints may send a second response late, and ``aiohttp`` would take it for the
response to the next request. This module uses ``h11`` instead and matches responses to
requests by their id.
"""

import asyncio
from dataclasses import dataclass

import h11

from sesamepost.errors import ErrorKind, RouterError
from sesamepost.internal.dispatch.headers import forwarded_headers
from sesamepost.internal.forwarding.answer_budget import AnswerBudget
from sesamepost.internal.forwarding.protocol_names import HeaderNames

MAX_ANSWER_BYTES = 8 << 20
MAX_HEADER_BYTES = 64 << 10
# Bytes beyond the body: headers, interim responses and chunk framing. Framing may add
# as many bytes as the body has; the response of an endpoint that sends more is invalid.
MAX_OVERHEAD_BYTES = 2 * MAX_HEADER_BYTES
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

    ``budget`` bounds the memory of this response and of others together.
    """

    def __init__(
        self,
        names: HeaderNames,
        max_body_bytes: int = MAX_ANSWER_BYTES,
        budget: AnswerBudget | None = None,
    ) -> None:
        self.names = names
        self.max_body_bytes = max_body_bytes
        self.budget = budget or AnswerBudget()
        self.is_held_back = False
        self.transport: asyncio.Transport | None = None
        self.parser: h11.Connection | None = None
        self.request: h11.Request | None = None
        self.request_id = ""
        self.waiter: asyncio.Future | None = None
        self.head: h11.Response | None = None
        self.body = bytearray()
        # Bytes since the previous response, and responses skipped for this request.
        self.received_bytes = 0
        self.skipped_for_request = 0
        self.is_open = False
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
        if self.waiter is None:
            self.close()
            return
        self.received_bytes += len(data)
        try:
            self.parser.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._fail(ErrorKind.ANSWER_CUT_OFF, f"invalid HTTP response: {error}")
        body_size = len(self.body)
        if self.received_bytes - body_size > MAX_OVERHEAD_BYTES + body_size:
            detail = (
                f"received {self.received_bytes} bytes for a body of {body_size} bytes"
            )
            self._fail(ErrorKind.ANSWER_CUT_OFF, detail)
        if self.waiter is not None and not self.waiter.done():
            self.budget.charge(self, self.received_bytes)

    def eof_received(self) -> bool:
        """Handle the end of the stream, which completes a response without a length."""
        if self.waiter is not None:
            try:
                self.parser.receive_data(b"")
                self._read_events()
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
        if self.is_open and not self.is_held_back:
            self.is_held_back = True
            self.transport.pause_reading()

    def read_on(self) -> None:
        """Read further bytes after ``hold_back``."""
        if self.is_open and self.is_held_back:
            self.is_held_back = False
            self.transport.resume_reading()

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
        try:
            return await self.waiter
        except BaseException:
            # Also on cancellation: closing makes the endpoint stop its work.
            self.close()
            raise
        finally:
            self.waiter = None
            self.body = bytearray()
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
        self.received_bytes = 0
        return self.parser.send(self.request)

    def _read_events(self) -> None:
        while self.waiter is not None and not self.waiter.done():
            event = self.parser.next_event()
            match event:
                case h11.Response():
                    self.head = event
                case h11.Data():
                    self._append_body(event.data)
                case h11.EndOfMessage():
                    self._complete()
                case h11.ConnectionClosed() | h11.NEED_DATA | h11.PAUSED:
                    return

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
        is_traceable = answered_id and len(self.failed_ids) <= MAX_FAILED_IDS
        if not is_reusable or trailing or not is_traceable:
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
        if trailing:
            self.received_bytes = len(trailing)
            self.parser.receive_data(trailing)

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
