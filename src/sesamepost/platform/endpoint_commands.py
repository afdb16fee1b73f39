"""Commands to the worker on the same machine: grants and releases of key ranges."""

import asyncio
import json
from collections.abc import Callable
from contextvars import ContextVar
from dataclasses import dataclass
from weakref import WeakKeyDictionary

import aiohttp
import structlog
from structlog.contextvars import bind_contextvars

from sesamepost.errors import RouterError
from sesamepost.internal.clock import boottime
from sesamepost.internal.forwarding.endpoint_connection import (
    EndpointConnection,
    EndpointResponse,
)
from sesamepost.internal.ranges.commands import (
    EndpointGoneError,
    EndpointUnconfirmedError,
    EndpointUnresponsiveError,
    GrantDelayedError,
)
from sesamepost.internal.ranges.holds import MIN_HOLD_S
from sesamepost.internal.wire.pool import Address
from sesamepost.platform.names import (
    GRANT_PATH,
    HANDOVER_HEADER,
    HEADERS,
    RELEASE_PATH,
)

GRANT_TIMEOUT_S = 1.0
RELEASE_TIMEOUT_S = 6.0
MAX_GRANTS_IN_FLIGHT = 4
# A hold counts from the arrival of its grant. This is less than the time for which a
# takeover waits beyond the longest hold.
GRANT_CONNECT_TIMEOUT_S = 0.3
# Responses to commands have empty or short bodies.
MAX_BODY_BYTES = 64 << 10
# Longer than the interval between renewals of grants, so that a connection lasts as
# long as the worker.
KEEP_ALIVE_S = 30.0

log = structlog.get_logger()


@dataclass(slots=True)
class GrantConnection:
    """A connection for grants, for the log."""

    number: int
    opened_at: float


@dataclass(slots=True)
class GrantTrace:
    """Which connection a grant was sent over, and when."""

    connections: WeakKeyDictionary[asyncio.BaseProtocol, GrantConnection]
    called_at: float
    opened: GrantConnection | None = None

    def note_sent(self, protocol: asyncio.BaseProtocol | None) -> None:
        """Add the connection to all further log lines of the task."""
        if protocol is None:
            return
        if self.opened is not None:
            self.connections[protocol] = self.opened
        used = self.connections.get(protocol)
        if used is None:
            return
        now = boottime()
        bind_contextvars(
            connection=used.number,
            connection_age_s=round(now - used.opened_at, 3),
            sent_after_s=round(now - self.called_at, 3),
        )


current_grant: ContextVar[GrantTrace] = ContextVar("current_grant")


class TracedResponse(aiohttp.ClientResponse):
    """Records the connection of a grant before the answer is read."""

    async def start(self, connection) -> "TracedResponse":
        """Read the head of the answer to the grant, which has just been sent."""
        current_grant.get().note_sent(connection.protocol)
        return await super().start(connection)


class WorkerCommands:
    """Sends commands over separate connections, so that requests do not delay them.

    Responses to commands have no id. A second copy of one, sent late, would be taken
    for the proof of the next release, so each release has a connection of its own.

    ``may_connect`` returns whether a grant may open a connection. An open connection
    leads to the incarnation of the worker for which it was opened.

    ``grant`` binds the connection as context of the log, so that the lines that its
    task writes later name it too.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.base = f"http://{address.host}:{address.port}"
        self.session: aiohttp.ClientSession | None = None
        self.may_connect: Callable[[], bool] = lambda: True
        self.grant_slots = asyncio.Semaphore(MAX_GRANTS_IN_FLIGHT)
        self.connections: WeakKeyDictionary[asyncio.BaseProtocol, GrantConnection] = (
            WeakKeyDictionary()
        )
        self.connections_opened = 0

    async def __aenter__(self) -> "WorkerCommands":
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_start.append(self._on_connect)
        self.session = aiohttp.ClientSession(
            trace_configs=[trace],
            response_class=TracedResponse,
            connector=aiohttp.TCPConnector(
                limit=MAX_GRANTS_IN_FLIGHT, keepalive_timeout=KEEP_ALIVE_S
            ),
            timeout=aiohttp.ClientTimeout(
                total=GRANT_TIMEOUT_S, sock_connect=GRANT_CONNECT_TIMEOUT_S
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )
        self.session._retry_connection = False
        return self

    async def __aexit__(self, *error) -> None:
        await self.session.close()

    async def grant(
        self, first: int, last: int, fence: int, hold_s: float, handover: str
    ) -> bool:
        """Grant or renew a hold; return False if the worker knows a higher fence.

        The hold ends at most ``hold_s`` seconds after this call. Time that the grant
        waits for other grants is subtracted.
        """
        called_at = boottime()
        trace = GrantTrace(self.connections, called_at)
        current_grant.set(trace)
        try:
            async with asyncio.timeout(GRANT_TIMEOUT_S):
                await self.grant_slots.acquire()
        except TimeoutError:
            raise GrantDelayedError("other grants are not answered") from None
        try:
            remaining_s = called_at + hold_s - boottime()
            if remaining_s < MIN_HOLD_S:
                raise GrantDelayedError(f"{remaining_s:.2f} s of the hold are left")
            return await self._send_grant(first, last, fence, remaining_s, handover)
        finally:
            self.grant_slots.release()

    async def _send_grant(
        self, first: int, last: int, fence: int, hold_s: float, handover: str
    ) -> bool:
        body = {
            "from": first,
            "target": last,
            "fence": fence,
            "holdS": round(hold_s, 3),
        }
        if handover:
            body["handover"] = handover
        status = await self._post_grant(body)
        if current_grant.get().opened is not None:
            log.info("grant_over_new_connection", status=status)
        if status == 409:
            return False
        if status != 200:
            raise EndpointUnresponsiveError(
                f"the worker answered a grant with status {status}"
            )
        return True

    async def release(self, first: int, last: int, fence: int) -> str:
        """End a hold once its requests have finished; return the handover token."""
        body = {"from": first, "target": last, "fence": fence}
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                response = await self._post_once(RELEASE_PATH, body)
        except ConnectionRefusedError as error:
            raise EndpointGoneError(str(error)) from None
        except (RouterError, TimeoutError, OSError) as error:
            raise EndpointUnresponsiveError(repr(error)) from None
        if response.status != 200:
            raise EndpointUnresponsiveError(
                f"the worker answered a release with status {response.status}"
            )
        return response.header(HANDOVER_HEADER)

    async def _post_once(self, path: str, body: dict) -> EndpointResponse:
        """Send a command on a new connection, which ends with the response."""
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: EndpointConnection(HEADERS, MAX_BODY_BYTES), *self.address
        )
        data = json.dumps(body).encode()
        headers = [
            ("Host", f"{self.address.host}:{self.address.port}"),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
        ]
        try:
            return await connection.send("POST", path, headers, data, "")
        finally:
            connection.close()

    async def _on_connect(self, session, context, parameters) -> None:
        if not self.may_connect():
            raise EndpointUnconfirmedError(
                "the current incarnation of the worker is not confirmed"
            )
        now = boottime()
        self.connections_opened += 1
        trace = current_grant.get()
        trace.opened = GrantConnection(self.connections_opened, now)
        log.info(
            "grant_connection_opening",
            connection=self.connections_opened,
            waited_s=round(now - trace.called_at, 3),
        )

    async def _post_grant(self, body: dict) -> int:
        """Send a grant over a kept connection and return the status."""
        try:
            async with self.session.post(self.base + GRANT_PATH, json=body) as response:
                await _drain_body(response)
                return response.status
        except aiohttp.ConnectionTimeoutError as error:
            raise GrantDelayedError(repr(error)) from None
        except aiohttp.ClientConnectorError as error:
            if isinstance(error.os_error, ConnectionRefusedError):
                raise EndpointGoneError(str(error)) from None
            raise EndpointUnresponsiveError(repr(error)) from None
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise EndpointUnresponsiveError(repr(error)) from None


async def _drain_body(response: aiohttp.ClientResponse) -> None:
    """Read and discard the body; close the connection if it is too long."""
    size = 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > MAX_BODY_BYTES:
            response.close()
            raise EndpointUnresponsiveError(
                f"the worker's response exceeds {MAX_BODY_BYTES} bytes"
            )
