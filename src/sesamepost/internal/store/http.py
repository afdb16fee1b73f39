"""Client of the platform's store over HTTP."""

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
    """A complete answer of the store."""

    __slots__ = ("body", "status", "version_text")

    def __init__(self, status: int, version_text: str, body: bytes) -> None:
        self.status = status
        self.version_text = version_text
        self.body = body

    def json(self) -> object:
        """Return the body as JSON."""
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise StoreUnavailableError(
                f"the store sent an answer that is not JSON: {error}"
            ) from None

    def version(self) -> int:
        """Return the header ``Version`` as a number."""
        try:
            return int(self.version_text)
        except ValueError:
            raise StoreUnavailableError(
                f"the store sent the version {self.version_text!r}; expected a number"
            ) from None


class HttpStore:
    """The ``Store`` interface on the HTTP protocol of section 12 of the design page.

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
        """Return the value at ``key``, or None."""
        reply = await self._call("GET", _value_path(key), allowed_statuses=(200, 404))
        if reply.status == 404:
            return None
        return StoredValue(reply.body, reply.version())

    async def put(self, key: str, value: bytes, expected: int, lease: str = "") -> int:
        """Write if the version is ``expected`` (0: absent); return the new version.

        Raises ``StoreConflictError``, ``StoreLeaseEndedError`` if ``lease`` has ended,
        and ``ValueError`` for a value that is larger than the store accepts.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError(
                f"{key} has {len(value)} bytes; the store takes {MAX_VALUE_BYTES}"
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
        """Remove ``key`` if its version is ``expected``."""
        headers = {"If-Version": str(expected)}
        reply = await self._call(
            "DELETE", _value_path(key), (200, 412), headers=headers
        )
        if reply.status == 412:
            raise StoreConflictError(key, expected, reply.version())

    async def list(self, prefix: str) -> list[tuple[str, int]]:
        """Return the keys that begin with ``prefix`` and their versions."""
        reply = await self._call("GET", "/v1/values", params={"prefix": prefix})
        return _parse_versions(reply.json())

    async def watch(self, prefix: str, after: int, wait_ms: int) -> Changes:
        """Wait until a key changed after revision ``after``, at most ``wait_ms``.

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
        raise StoreUnavailableError("the store sent a malformed answer to a watch")

    async def grant_lease(self, ttl_ms: int) -> str:
        """Open a lease and return its id."""
        reply = await self._call("POST", "/v1/leases", params={"ttl_ms": str(ttl_ms)})
        match reply.json():
            case {"lease": str(lease)}:
                return lease
        raise StoreUnavailableError("the store sent a malformed lease")

    async def renew_lease(self, lease: str) -> bool:
        """Renew a lease; False if it has ended."""
        reply = await self._call(
            "POST", _lease_path(lease), allowed_statuses=(200, 404)
        )
        return reply.status == 200

    async def end_lease(self, lease: str) -> None:
        """End a lease and remove the values bound to it."""
        await self._call("DELETE", _lease_path(lease), allowed_statuses=(200, 404))

    async def _call(
        self,
        method: str,
        path: str,
        allowed_statuses: tuple[int, ...] = (200,),
        **options,
    ) -> Reply:
        if self.session is None:
            raise RuntimeError("HttpStore is used outside of its `async with` block")
        call = f"{method} {path}"
        try:
            url = URL(self.url + path, encoded=True)
            async with self.session.request(method, url, **options) as answer:
                body = await answer.read()
        except TimeoutError as error:
            raise StoreUnavailableError(f"{call}: no answer in time") from error
        except aiohttp.ClientConnectorError as error:
            raise StoreRefusedError(f"{call}: {error}") from error
        except aiohttp.ClientError as error:
            raise StoreUnavailableError(f"{call}: {error!r}") from error
        if answer.status == 429:
            raise StoreRefusedError(f"{call}: the store's rate cap is reached (429)")
        if answer.status not in allowed_statuses:
            raise StoreUnavailableError(f"{call}: the store answered {answer.status}")
        return Reply(answer.status, answer.headers.get("Version", ""), body)


async def _prevent_resending(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Report a connection that broke under a write, whose effect is then unknown.

    aiohttp sends PUT and DELETE again by itself after a broken connection. If the
    first attempt took effect, the second would get 412 and look like a conflict.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        if request.method not in ("PUT", "DELETE"):
            raise
        raise StoreUnavailableError(
            f"{request.method} {request.url.path}: the connection broke: {error!r}"
        ) from error


def _value_path(key: str) -> str:
    if not key:
        raise ValueError("a key of the store must not be empty")
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
