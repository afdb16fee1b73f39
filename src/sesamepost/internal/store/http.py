"""HTTP client for the platform's store."""

import json
from types import TracebackType
from urllib.parse import quote

import aiohttp
from yarl import URL

from sesamepost.internal.store.interface import (
    Changes,
    StoreConflictError,
    StoredValue,
    StoreLeaseEndedError,
    StoreRefusedError,
    StoreUnavailableError,
)

CALL_TIMEOUT_S = 1.0
MAX_VALUE_BYTES = 1 << 20


class Reply:
    """A response of the store, read completely."""

    __slots__ = ("body", "status", "version_text")

    def __init__(self, status: int, version_text: str, body: bytes) -> None:
        self.status = status
        self.version_text = version_text
        self.body = body

    def json(self) -> object:
        """Parse the body as JSON."""
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise StoreUnavailableError(
                f"the store sent a response that is not JSON: {error}"
            ) from None

    def version(self) -> int:
        """Return the value of the ``Version`` header."""
        try:
            return int(self.version_text)
        except ValueError:
            raise StoreUnavailableError(
                f"the store sent version {self.version_text!r}; expected a number"
            ) from None


class HttpStore:
    """Implements ``Store`` with the HTTP protocol of section 12 of the design page.

    Use it as an async context manager:

    >>> async with HttpStore("http://10.0.0.5:7000") as store:  # doctest: +SKIP
    ...     value = await store.get("fleet")
    """

    def __init__(self, url: str) -> None:
        self.url = url.rstrip("/")
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "HttpStore":
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
            middlewares=(_prevent_resending,),
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self.session is not None:
            await self.session.close()
            self.session = None

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of ``key``, or None if the key is absent."""
        reply = await self._call("GET", _value_path(key), allowed_statuses=(200, 404))
        if reply.status == 404:
            return None
        return StoredValue(reply.body, reply.version())

    async def put(self, key: str, value: bytes, expected: int, lease: str = "") -> int:
        """Write if the version is ``expected`` (0: absent); return the new version.

        Raises ``StoreConflictError`` if the key has another version,
        ``StoreLeaseEndedError`` if ``lease`` has ended, and ``ValueError`` if the value
        is larger than the store accepts.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError(
                f"the value of {key} has {len(value)} bytes;"
                f" the store accepts at most {MAX_VALUE_BYTES}"
            )
        headers = {"If-Version": str(expected)}
        if lease:
            headers["Lease"] = lease
        reply = await self._call(
            "PUT", _value_path(key), (200, 404, 412), data=value, headers=headers
        )
        if reply.status == 412:
            raise StoreConflictError(key, expected, reply.version())
        if reply.status == 404:
            raise StoreLeaseEndedError(key, expected, expected)
        return reply.version()

    async def delete(self, key: str, expected: int) -> None:
        """Delete ``key`` if its version is ``expected``."""
        headers = {"If-Version": str(expected)}
        reply = await self._call(
            "DELETE", _value_path(key), (200, 412), headers=headers
        )
        if reply.status == 412:
            raise StoreConflictError(key, expected, reply.version())

    async def list(self, prefix: str) -> list[tuple[str, int]]:
        """Return the keys that start with ``prefix``, with their versions."""
        reply = await self._call("GET", "/v1/values", params={"prefix": prefix})
        return _parse_versions(reply.json())

    async def watch(self, prefix: str, after: int, wait_ms: int) -> Changes:
        """Wait up to ``wait_ms`` for changes after revision ``after``.

        A deleted key is listed with version 0.
        """
        parameters = {"prefix": prefix, "after": str(after), "wait_ms": str(wait_ms)}
        reply = await self._call(
            "GET",
            "/v1/watch",
            params=parameters,
            timeout=aiohttp.ClientTimeout(total=wait_ms / 1000 + CALL_TIMEOUT_S),
        )
        match reply.json():
            case {"revision": int(revision), "changed": changed}:
                return Changes(revision, tuple(_parse_versions(changed)))
        raise StoreUnavailableError("the store sent a malformed response to a watch")

    async def grant_lease(self, ttl_ms: int) -> str:
        """Open a lease and return its id."""
        reply = await self._call("POST", "/v1/leases", params={"ttl_ms": str(ttl_ms)})
        match reply.json():
            case {"lease": str(lease)}:
                return lease
        raise StoreUnavailableError(
            "the store sent a malformed response to a lease request"
        )

    async def renew_lease(self, lease: str) -> bool:
        """Renew a lease; return False if it has ended."""
        reply = await self._call(
            "POST", _lease_path(lease), allowed_statuses=(200, 404)
        )
        return reply.status == 200

    async def end_lease(self, lease: str) -> None:
        """End a lease and delete the values bound to it."""
        await self._call("DELETE", _lease_path(lease), allowed_statuses=(200, 404))

    async def _call(
        self,
        method: str,
        path: str,
        allowed_statuses: tuple[int, ...] = (200,),
        **options,
    ) -> Reply:
        if self.session is None:
            raise RuntimeError("HttpStore must be used inside its `async with` block")
        call = f"{method} {path}"
        try:
            url = URL(self.url + path, encoded=True)
            async with self.session.request(method, url, **options) as response:
                body = await response.read()
        except TimeoutError as error:
            raise StoreUnavailableError(f"{call}: no answer in time") from error
        except aiohttp.ClientConnectorError as error:
            raise StoreRefusedError(f"{call}: {error}") from error
        except aiohttp.ClientError as error:
            raise StoreUnavailableError(f"{call}: {error!r}") from error
        if response.status == 429:
            raise StoreRefusedError(
                f"{call}: the rate cap of the store is exceeded (429)"
            )
        if response.status not in allowed_statuses:
            raise StoreUnavailableError(f"{call}: the store answered {response.status}")
        return Reply(response.status, response.headers.get("Version", ""), body)


async def _prevent_resending(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Report a connection lost during a write instead of letting aiohttp retry it.

    aiohttp resends PUT and DELETE by itself after a lost connection. If the first
    attempt took effect, the second would get 412 and look like a conflict.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        if request.method not in ("PUT", "DELETE"):
            raise
        raise StoreUnavailableError(
            f"{request.method} {request.url.path}: connection lost: {error!r}"
        ) from error


def _value_path(key: str) -> str:
    if not key:
        raise ValueError("a store key must not be empty")
    return "/v1/values/" + quote(key, safe="/")


def _lease_path(lease: str) -> str:
    return "/v1/leases/" + quote(lease, safe="")


def _parse_versions(payload: object) -> list[tuple[str, int]]:
    try:
        return [(str(key), int(version)) for key, version in payload]
    except (TypeError, ValueError):
        raise StoreUnavailableError(
            "the store sent a malformed list of keys and versions"
        ) from None
