"""Commands to the worker on the same machine: grants and releases of key ranges."""

import asyncio
from collections.abc import Callable

import aiohttp

from sesamepost.internal.ranges.keeper import (
    EndpointGoneError,
    EndpointUnconfirmedError,
    EndpointUnresponsiveError,
)
from sesamepost.internal.wire.pool import Address
from sesamepost.platform.names import GRANT_PATH, HANDOVER_HEADER, RELEASE_PATH

GRANT_TIMEOUT_S = 1.0
RELEASE_TIMEOUT_S = 6.0
# Responses to commands have empty or short bodies.
MAX_BODY_BYTES = 64 << 10
# Longer than the interval between renewals of grants, so that a connection lasts as
# long as the worker.
KEEP_ALIVE_S = 30.0


class WorkerCommands:
    """Sends commands over separate connections, so that requests do not delay them.

    ``may_connect`` returns whether a grant may open a connection. An open connection
    leads to the incarnation of the worker for which it was opened.
    """

    def __init__(self, address: Address) -> None:
        self.base = f"http://{address.host}:{address.port}"
        self.session: aiohttp.ClientSession | None = None
        self.may_connect: Callable[[], bool] = lambda: True

    async def __aenter__(self) -> "WorkerCommands":
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_start.append(self._on_connect)
        self.session = aiohttp.ClientSession(
            trace_configs=[trace],
            connector=aiohttp.TCPConnector(limit=4, keepalive_timeout=KEEP_ALIVE_S),
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
        """Grant or renew a hold; return False if the worker knows a higher fence."""
        body = {
            "from": first,
            "target": last,
            "fence": fence,
            "holdS": round(hold_s, 3),
        }
        if handover:
            body["handover"] = handover
        status, _ = await self._command(GRANT_PATH, body, GRANT_TIMEOUT_S)
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
        status, handover = await self._command(RELEASE_PATH, body, RELEASE_TIMEOUT_S)
        if status != 200:
            raise EndpointUnresponsiveError(
                f"the worker answered a release with status {status}"
            )
        return handover

    async def _on_connect(self, session, context, parameters) -> None:
        if context.trace_request_ctx == GRANT_PATH and not self.may_connect():
            raise EndpointUnconfirmedError(
                "the current incarnation of the worker is not confirmed"
            )

    async def _command(
        self, path: str, body: dict, timeout_s: float
    ) -> tuple[int, str]:
        try:
            async with asyncio.timeout(timeout_s):
                async with self.session.post(
                    self.base + path, json=body, trace_request_ctx=path
                ) as response:
                    await _drain_body(response)
                    return response.status, response.headers.get(HANDOVER_HEADER, "")
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
