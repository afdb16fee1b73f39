"""Client of the platform's metadata store."""

import asyncio
import json
import socket
from base64 import b64decode, b64encode
from collections import Counter

import aiohttp

from sesamepost.internal.coordination.store import (
    Batch,
    ConditionFailedError,
    Deletion,
    HistoryGoneError,
    Item,
    LeaseEndedError,
    StoreRejectedError,
    StoreSilentError,
    Transaction,
)

CALL_TIMEOUT_S = 0.8
# The store answers a watch at most this long after its wait has ended.
WATCH_GRACE_S = 1.0
# TCP keepalive detects dead connections on which a watch is waiting.
KEEP_ALIVE_IDLE_S = 2
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
USER_TIMEOUT_MS = 2000

# Statuses that guarantee that the store has not executed the call.
REJECTED_STATUSES = frozenset({429, 503})


class PlatformStore:
    """HTTP client of the store, used as an async context manager."""

    def __init__(self, url: str) -> None:
        self.url = url
        self.session: aiohttp.ClientSession | None = None
        self.counters: Counter[str] = Counter()

    async def __aenter__(self) -> "PlatformStore":
        connector = aiohttp.TCPConnector(
            limit=0, keepalive_timeout=30, socket_factory=_create_socket
        )
        self.session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )
        # Retries are left to the caller, which knows what is safe to repeat.
        self.session._retry_connection = False
        return self

    async def __aexit__(self, *error) -> None:
        await self.session.close()

    async def get(self, key: str) -> tuple[Item | None, int]:
        """Return the current item at ``key``, or None, and the store's revision."""
        status, fields = await self._call("GET", "/kv-key", {"key": key})
        if status == 404:
            return None, int(fields.get("atRevision", 0))
        return _item(fields), int(fields["atRevision"])

    async def list(self, prefix: str) -> Batch:
        """Return all items whose key begins with ``prefix``."""
        events: list[Item] = []
        revision = None
        query = {"prefix": prefix}
        while True:
            _, fields = await self._call("GET", "/kv-range", query)
            events += [_item(entry) for entry in fields["items"]]
            if revision is None:
                # The pages are not a snapshot. A watch from the revision of the first
                # page misses no change.
                revision = int(fields["atRevision"])
            if not fields.get("truncated"):
                return Batch(revision, tuple(events))
            query = {"prefix": prefix, "after": events[-1].key}

    async def watch(self, prefix: str, after: int, wait_s: float) -> Batch:
        """Return the changes after a revision, waiting up to ``wait_s`` for one."""
        query = {
            "prefix": prefix,
            "after": str(after),
            "waitMs": str(int(wait_s * 1000)),
        }
        timeout_s = wait_s + WATCH_GRACE_S
        status, fields = await self._call(
            "GET", "/kv-watch", query, timeout_s=timeout_s
        )
        if status == 410:
            raise HistoryGoneError(f"no history after revision {after}")
        events = tuple(_event(entry) for entry in fields["events"])
        return Batch(int(fields["atRevision"]), events)

    async def commit(self, transaction: Transaction) -> int:
        """Apply a transaction and return the revision of the change."""
        body = {
            "expectedRevision": [
                {"key": key, "revision": revision}
                for key, revision in transaction.conditions.items()
            ],
            "setKeys": [
                {
                    "key": write.key,
                    "value": b64encode(write.value).decode(),
                    "lease": write.lease,
                }
                for write in transaction.writes
            ],
            "remove": list(transaction.deletes),
        }
        status, fields = await self._call("POST", "/kv-txn", body=body)
        if status == 412:
            items = tuple(_item(entry) for entry in fields.get("items", ()))
            raise ConditionFailedError(", ".join(transaction.conditions), items)
        if status == 404:
            raise LeaseEndedError("the lease bound to a written key has ended")
        return int(fields["revision"])

    async def open_lease(self, ttl_s: float) -> int:
        """Open a lease and return its id."""
        _, fields = await self._call("POST", "/kv-lease", body={"ttlS": ttl_s})
        return int(fields["lease"])

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raise ``LeaseEndedError`` if it has ended."""
        status, _ = await self._call("POST", f"/kv-keep/{lease}")
        if status == 404:
            raise LeaseEndedError(str(lease))

    async def end_lease(self, lease: int) -> None:
        """End a lease and remove the keys bound to it."""
        await self._call("DELETE", f"/kv-lease-end/{lease}")

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        body: dict | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, dict]:
        """Return the status and the fields of a conclusive response.

        Raise ``StoreRejectedError`` if the call was not executed, and
        ``StoreSilentError`` if its outcome is unknown.
        """
        self.counters[path.split("/")[1]] += 1
        data = None
        headers = {}
        if body is not None:
            data = json.dumps(body, separators=(",", ":")).encode()
            headers["Content-Type"] = "application/json"
        try:
            async with asyncio.timeout(timeout_s):
                async with self.session.request(
                    method, self.url + path, params=query, data=data, headers=headers
                ) as response:
                    content = await response.read()
                    status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StoreSilentError(f"{method} {path}: {error!r}") from None
        if status in REJECTED_STATUSES:
            raise StoreRejectedError(f"{method} {path}: status {status}")
        if status not in (200, 404, 410, 412):
            raise StoreSilentError(f"{method} {path}: status {status}: {content[:80]}")
        try:
            fields = json.loads(content) if content else {}
        except ValueError as error:
            if status == 200:
                raise StoreSilentError(f"{method} {path}: {error}") from None
            fields = {}
        return status, fields if isinstance(fields, dict) else {}


def _item(fields: dict) -> Item:
    return Item(
        fields["key"],
        b64decode(fields["value"]),
        int(fields["revision"]),
        int(fields.get("lease", 0)),
    )


def _event(fields: dict) -> Item | Deletion:
    if fields.get("deleted"):
        return Deletion(fields["key"], int(fields["revision"]))
    return _item(fields)


def _create_socket(address_info) -> socket.socket:
    family, kind, protocol, _, _ = address_info
    connection = socket.socket(family, kind, protocol)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, value)
    return connection
