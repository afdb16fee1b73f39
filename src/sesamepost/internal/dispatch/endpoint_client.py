"""HTTP calls to the endpoint of one service on this VM."""

import asyncio
from functools import lru_cache
from typing import NamedTuple

import aiohttp
from yarl import URL

from sesamepost.errors import OUTCOME_HEADER, ErrorKind, Outcome, RouterError
from sesamepost.internal.dispatch.headers import forwarded_headers
from sesamepost.internal.dispatch.statuses import is_final_status
from sesamepost.internal.wire.messages import Answer, Request

MAX_ANSWER_BYTES = 8 << 20
CONNECT_TIMEOUT_S = 1.0
# Shorter than the usual keep-alive timeout of servers, so that a connection is not
# reused at the moment the endpoint closes it.
KEEP_ALIVE_S = 10.0
READ_CHUNK_BYTES = 256 << 10
NANOSECONDS_PER_SECOND = 1_000_000_000
GRANT_TIMEOUT_S = 1.0
# Characters of the parser's message, which may repeat the response.
MAX_DETAIL = 100
MAX_CACHED_URLS = 256
# About a century: means "no expiry" and fits into a signed 64-bit nanosecond count.
NO_EXPIRY_S = 3.15e9


class DispatchContext(NamedTuple):
    """The fence, epoch and deadline that are sent to the endpoint with a request.

    ``expires_at`` is in seconds on ``CLOCK_BOOTTIME``, which daemon and endpoint share.
    """

    fence_name: str
    epoch: int
    timeout_s: float
    expires_at: float


class EndpointClient:
    """Sends requests to one endpoint and reports whether they may have run."""

    def __init__(self, url: str, connections: int) -> None:
        self.base_url = URL(url)
        # Building a URL takes several microseconds, and many requests share a target.
        self.url_for = lru_cache(MAX_CACHED_URLS)(self._build_url)
        self.connections = connections
        self.session: aiohttp.ClientSession | None = None

    def open(self) -> None:
        """Create the HTTP session; connections are opened on demand."""
        connector = aiohttp.TCPConnector(
            limit=self.connections,
            keepalive_timeout=KEEP_ALIVE_S,
            ttl_dns_cache=None,
        )
        self.session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            skip_auto_headers=(
                "User-Agent",
                "Accept",
                "Accept-Encoding",
                "Content-Type",
            ),
        )
        # By default, aiohttp retries GET, PUT and DELETE if a reused connection breaks.
        # Here the caller decides whether its request may be repeated, not the method.
        self.session._retry_connection = False

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def grant(self, service: str, incarnation: int, valid_until: float) -> bool:
        """Extend a fenced endpoint's grant; return whether the endpoint accepted it."""
        content = {
            "service": service,
            "incarnation": incarnation,
            "valid_until_ns": int(
                min(valid_until, NO_EXPIRY_S) * NANOSECONDS_PER_SECOND
            ),
        }
        timeout = aiohttp.ClientTimeout(total=GRANT_TIMEOUT_S)
        url = self.base_url.origin() / "sesamepost" / "grant"
        try:
            async with self.session.post(url, json=content, timeout=timeout) as answer:
                return is_final_status(answer.status) and answer.status < 300
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def send(self, request: Request, context: DispatchContext) -> Answer:
        """Send a request and return the endpoint's complete answer.

        Raises ``RouterError``. The outcome of its kind is "not run" only if no
        connection could be opened or the endpoint stated that it did not run the
        request.
        """
        try:
            async with asyncio.timeout(context.timeout_s):
                return await self._send(request, context)
        except TimeoutError:
            raise RouterError(
                ErrorKind.OUTCOME_UNKNOWN, "the endpoint did not answer in time"
            ) from None
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise RouterError(ErrorKind.ENDPOINT_UNREACHABLE, str(error)) from None
        except aiohttp.ClientPayloadError as error:
            raise RouterError(ErrorKind.ANSWER_CUT_OFF, str(error)) from None
        except aiohttp.ClientResponseError as error:
            detail = f"invalid HTTP response: {error.message[:MAX_DETAIL]!r}"
            raise RouterError(ErrorKind.ANSWER_CUT_OFF, detail) from None
        except aiohttp.ClientError as error:
            raise RouterError(ErrorKind.OUTCOME_UNKNOWN, repr(error)) from None

    def _build_url(self, target: str) -> URL:
        # Parsing the target as a URL would drop everything after a "#".
        path, _, query = target.partition("?")
        base_url = self.base_url
        return URL.build(
            scheme=base_url.scheme,
            host=base_url.host,
            port=base_url.port,
            path=path,
            query_string=query,
            encoded=True,
        )

    async def _send(self, request: Request, context: DispatchContext) -> Answer:
        url = self.url_for(request.target)
        async with self.session.request(
            request.method,
            url,
            headers=_request_headers(request, context),
            data=request.body or None,
            allow_redirects=False,
        ) as response:
            if not is_final_status(response.status):
                # What follows on this connection may not be an answer either.
                response.close()
                raise RouterError(
                    ErrorKind.ANSWER_CUT_OFF, f"invalid status {response.status}"
                )
            is_head = request.method == "HEAD"
            body = b"" if is_head else await _read_body(response)
            if response.status == 503 and (
                response.headers.get(OUTCOME_HEADER) == Outcome.NOT_RUN
            ):
                raise RouterError(ErrorKind.ENDPOINT_REFUSED)
            headers = [
                (name, value)
                for name, _, value in forwarded_headers(response.raw_headers)
            ]
            if is_head and "Content-Length" in response.headers:
                # An answer to HEAD has no body from which the length could be derived.
                headers.append(("Content-Length", response.headers["Content-Length"]))
            return Answer(request.id, response.status, headers, body, False)


def _request_headers(request: Request, context: DispatchContext) -> list:
    return [
        *request.headers,
        ("Sesamepost-Service", request.service),
        ("Sesamepost-Key", request.key),
        ("Sesamepost-Partition", context.fence_name),
        ("Sesamepost-Epoch", str(context.epoch)),
        ("Sesamepost-Timeout-Ms", str(max(1, int(context.timeout_s * 1000)))),
        (
            "Sesamepost-Expires-Boottime-Ns",
            str(int(min(context.expires_at, NO_EXPIRY_S) * NANOSECONDS_PER_SECOND)),
        ),
    ]


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    length = response.content_length
    if length is not None and length > MAX_ANSWER_BYTES:
        raise RouterError(ErrorKind.ANSWER_TOO_LARGE, f"{length} bytes")
    if length is not None:
        return await response.read()
    chunks = []
    size = 0
    async for chunk in response.content.iter_chunked(READ_CHUNK_BYTES):
        size += len(chunk)
        if size > MAX_ANSWER_BYTES:
            raise RouterError(ErrorKind.ANSWER_TOO_LARGE, f"more than {size} bytes")
        chunks.append(chunk)
    return b"".join(chunks)
