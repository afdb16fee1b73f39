"""HTTP server for callers, with routes by host and path."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable

import structlog
from aiohttp import web
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader
from aiohttp.web_request import BaseRequest
from multidict import CIMultiDict

from sesamepost.errors import (
    ANSWERS,
    ERROR_HEADER,
    OUTCOME_HEADER,
    ErrorKind,
    Outcome,
    RouterError,
)
from sesamepost.internal.clients.connection import RequestStalledError
from sesamepost.internal.clients.limits import DEFAULT_CLIENT_LIMITS, ClientLimits
from sesamepost.internal.clients.refusals import Refusals
from sesamepost.internal.clients.responses import PartwiseResponse
from sesamepost.internal.clock import boottime
from sesamepost.internal.dispatch.headers import forwarded_headers
from sesamepost.internal.forwarding.calls import Call, Progress
from sesamepost.internal.forwarding.forwarder import Forwarder
from sesamepost.internal.forwarding.messages import NO_KEY
from sesamepost.internal.forwarding.pipelining import PipelinedServer
from sesamepost.internal.forwarding.protocol_names import HeaderNames
from sesamepost.internal.forwarding.routes import Limits, RouteIndex, SplitSelector
from sesamepost.internal.http_requests import bounded_request_factory
from sesamepost.internal.ranges.table import LAST_KEY
from sesamepost.internal.wire.messages import Answer
from sesamepost.internal.wire.pool import Address

MAX_BODY_BYTES = 8 << 20
MAX_HEADER_FIELD_BYTES = 64 << 10
DEFAULT_TIMEOUT_S = 10.0
# The server closes idle connections by the operator's limit, always before this.
KEEP_ALIVE_S = 86_400.0
# How long the rest of a refused body is read, so that the client can read the answer.
LINGERING_S = 1.0
DEFAULT_LIMITS = Limits()
# Time for the last answers to be written once all requests have ended.
SHUTDOWN_TIMEOUT_S = 0.2
# Spreads the retries of clients that were refused at the same time.
RETRY_AFTER_JITTER = 0.3

log = structlog.get_logger()


class Ingress:
    """Accepts HTTP requests, forwards them and returns the answers.

    ``index`` returns the index of the routing settings in force, or None before any are
    known. ``service`` returns the service of the local endpoint.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        names: HeaderNames,
        index: Callable[[], RouteIndex | None],
        service: Callable[[], str],
        observe: Callable[[str, str, str, float], None],
        client_limits: ClientLimits = DEFAULT_CLIENT_LIMITS,
    ) -> None:
        self.forwarder = forwarder
        self.names = names
        self.index = index
        self.service = service
        self.observe = observe
        self.client_limits = client_limits
        self.refusals = Refusals()
        self.split_selector = SplitSelector()
        self.counters: Counter[str] = Counter()
        self.router_headers = {
            name.lower()
            for name in (
                names.request_id,
                names.timeout_ms,
                names.caller_service,
                names.expected_endpoint,
            )
        }
        self.in_flight = 0
        self.is_stopping = False
        # A stopping node must have answered all requests by this time.
        self.latest_deadline = float("inf")
        self.runner: web.ServerRunner | None = None
        self.site: web.TCPSite | None = None

    async def __aenter__(self) -> "Ingress":
        return self

    async def __aexit__(self, *error) -> None:
        if self.runner is not None:
            await self.runner.cleanup()

    async def listen(self, address: Address) -> None:
        """Accept callers at ``address``."""
        server = PipelinedServer(
            self.handle,
            self._start_pipelined,
            client_limits=self.client_limits,
            limits=self._limits,
            refusals=self.refusals,
            request_factory=bounded_request_factory(MAX_BODY_BYTES),
            access_log=None,
            auto_decompress=False,
            handler_cancellation=True,
            keepalive_timeout=KEEP_ALIVE_S,
            lingering_time=LINGERING_S,
            max_line_size=MAX_HEADER_FIELD_BYTES,
            max_field_size=MAX_HEADER_FIELD_BYTES,
        )
        self.runner = web.ServerRunner(
            server, handle_signals=False, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self.runner.setup()
        self.site = web.TCPSite(self.runner, *address, backlog=512)
        await self.site.start()

    def used_bytes(self) -> int:
        """Return what is held for all callers together."""
        return self.runner.server.budget.used_bytes

    def connection_count(self) -> int:
        """Return the number of connections of callers."""
        return len(self.runner.server.connections)

    async def stop_accepting(self) -> None:
        """Accept no new connections, and close each open one once it is idle.

        A request that arrives while its connection is closed is not read, so its caller
        can send it again.
        """
        self.is_stopping = True
        await self.site.stop()
        self.runner.server.close_when_answered()

    async def wait_until_idle(self) -> None:
        """Wait until no request is being read or has no answer yet."""
        await self.runner.server.wait_until_idle()

    async def handle(self, request: BaseRequest) -> web.Response:
        """Answer one request, which may have been started early."""
        try:
            return await self._answer(request)
        finally:
            request.protocol.note_answered()

    async def _answer(self, request: BaseRequest) -> web.Response:
        message = request._message
        task = request.protocol.take_pipelined(message)
        if task is not None:
            response = await task
        else:
            try:
                body = await self._read_body(request)
            except RequestStalledError:
                return self._stalled_response()
            response = await self._process(message, body)
        if self.is_stopping and not request.protocol.has_waiting:
            response.force_close()
        return response

    def _stalled_response(self) -> web.Response:
        error = RouterError(ErrorKind.REQUEST_TIMEOUT)
        response = self._error(error, Progress())
        response.force_close()
        return response

    async def _read_body(self, request: BaseRequest) -> bytes | None:
        """Return the body, or None once it is announced or arrives above the limit."""
        if not request.body_exists:
            return b""
        limit_bytes = min(MAX_BODY_BYTES, self._limits().body_bytes)
        if (request.content_length or 0) > limit_bytes:
            return None
        payload = request.content
        if payload.is_eof() and payload.total_bytes <= limit_bytes:
            return payload.read_nowait()
        body = bytearray()
        while data := await payload.readany():
            body += data
            if len(body) > limit_bytes:
                return None
        return bytes(body)

    def _limits(self) -> Limits:
        index = self.index()
        return index.settings.limits if index else DEFAULT_LIMITS

    def _start_pipelined(
        self, message: RawRequestMessage, payload: StreamReader
    ) -> asyncio.Task | None:
        """Start a pipelined request early if its route allows retries.

        A caller sends a request again if the connection closes before its answer.
        """
        index = self.index()
        route = index and index.find(*_host_and_path(message))
        if not route or not route.is_retryable:
            return None
        self.counters["started_early"] += 1
        body = payload.read_nowait()
        bounded_body = body if len(body) <= MAX_BODY_BYTES else None
        return asyncio.ensure_future(self._process(message, bounded_body))

    async def _process(
        self, message: RawRequestMessage, body: bytes | None
    ) -> web.Response:
        received_at = boottime()
        self.in_flight += 1
        progress = Progress()
        call = None
        kind = ""
        try:
            if body is None:
                raise RouterError(ErrorKind.BODY_TOO_LARGE)
            call = self._parse(message, body, received_at)
            answer = await self.forwarder.run(call, progress)
            outcome = Outcome.RAN
            response = _response(answer)
        except RouterError as error:
            kind = error.kind
            outcome = ANSWERS[error.kind].outcome
            response = self._error(error, progress)
        except asyncio.CancelledError:
            self.counters["callers_gone"] += 1
            self._log_request(message, call, progress, 0, "caller_gone", received_at)
            raise
        except Exception:
            log.exception("request_failed")
            kind = ErrorKind.INTERNAL
            outcome = Outcome.UNKNOWN
            response = self._error(RouterError(kind), progress)
        finally:
            self.in_flight -= 1
        self._log_request(message, call, progress, response.status, kind, received_at)
        if call is not None:
            seconds = boottime() - received_at
            self.observe(call.service, call.route.name, outcome, seconds)
        return response

    def _parse(
        self, message: RawRequestMessage, body: bytes, received_at: float
    ) -> Call:
        names = self.names
        index = self.index()
        if index is None:
            raise RouterError(ErrorKind.NO_SETTINGS)
        host, path = _host_and_path(message)
        route = index.find(host, path)
        if route is None:
            raise RouterError(ErrorKind.UNKNOWN_ROUTE, f"{host}{path}")
        settings = index.settings
        _check_size(message, body, settings.limits)
        service = self.split_selector.select(route)
        key = NO_KEY
        if service in settings.services and settings.services[service].is_partitioned:
            key = _key(message.headers.get(names.key, ""))
        timeout_s = _timeout_s(message.headers.get(names.timeout_ms))
        if route.timeout_s:
            timeout_s = min(timeout_s, route.timeout_s)
        headers = [
            (name, value)
            for name, lower, value in forwarded_headers(message.raw_headers)
            if lower not in self.router_headers
        ]
        headers.append(("Host", message.headers.get("Host", "")))
        headers.append((names.caller_service, self.service()))
        return Call(
            message.headers.get(names.request_id, ""),
            route,
            service,
            key,
            message.method,
            message.path,
            headers,
            body,
            min(received_at + timeout_s, self.latest_deadline),
            received_at + (route.target_latency_s or timeout_s),
            route.priority,
            settings.version,
        )

    def _error(self, error: RouterError, progress: Progress) -> web.Response:
        self.counters[error.kind] += 1
        answer = ANSWERS[error.kind]
        headers = {ERROR_HEADER: error.kind, OUTCOME_HEADER: answer.outcome}
        if answer.status == 503:
            wait_s = progress.retry_after_s
            if not progress.is_return_spread:
                wait_s *= 1 + RETRY_AFTER_JITTER * random.random()
            headers["Retry-After"] = f"{wait_s:.3f}"
        text = f"{error.kind}: {answer.text}"
        if error.detail:
            text = f"{text} ({error.detail})"
        return web.Response(status=answer.status, text=text + "\n", headers=headers)

    def _log_request(
        self,
        message: RawRequestMessage,
        call: Call | None,
        progress: Progress,
        status: int,
        kind: str,
        received_at: float,
    ) -> None:
        log.info(
            "request",
            request=message.headers.get(self.names.request_id, ""),
            path=message.path,
            route=call.route.name if call else "",
            service=call.service if call else "",
            key=call.key if call else NO_KEY,
            rank=call.rank if call else 0,
            settings=call.settings_version if call else 0,
            steps=progress.steps,
            held_ms=int(progress.waited_s * 1000),
            status=status,
            kind=kind,
            ms=int((boottime() - received_at) * 1000),
        )


def _host_and_path(message: RawRequestMessage) -> tuple[str, str]:
    host = message.headers.get("Host", "")
    return host.partition(":")[0], message.path.partition("?")[0]


def _check_size(message: RawRequestMessage, body: bytes, limits: Limits) -> None:
    if len(body) > limits.body_bytes:
        raise RouterError(ErrorKind.BODY_TOO_LARGE, f"{len(body)} bytes")
    size = sum(len(name) + len(value) for name, value in message.raw_headers)
    if size > limits.header_bytes:
        raise RouterError(ErrorKind.HEADERS_TOO_LARGE, f"{size} bytes")


def _response(answer: Answer) -> web.Response:
    headers = CIMultiDict(answer.headers)
    return PartwiseResponse(status=answer.status, body=answer.body, headers=headers)


def _key(text: str) -> int:
    if not text:
        raise RouterError(ErrorKind.MISSING_KEY)
    if not text.isascii() or not text.isdigit() or int(text) > LAST_KEY:
        raise RouterError(
            ErrorKind.BAD_REQUEST, f"a key must be from 0 to {LAST_KEY}, got {text!r}"
        )
    return int(text)


def _timeout_s(text: str | None) -> float:
    if text is None:
        return DEFAULT_TIMEOUT_S
    try:
        timeout_s = float(text) / 1000
    except ValueError:
        raise RouterError(ErrorKind.BAD_TIMEOUT, f"got {text[:32]!r}") from None
    if not 0 < timeout_s <= 600:
        raise RouterError(ErrorKind.BAD_TIMEOUT, f"got {text[:32]!r}")
    return timeout_s
