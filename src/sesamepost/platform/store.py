"""Client of the platform's metadata store."""

import asyncio
import json
import socket
from base64 import b64encode
from collections import Counter
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass

import aiohttp
import structlog
from msgspec import Raw, Struct
from msgspec.json import Decoder

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.eras import StoreEras
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
from sesamepost.platform.connector import BoundedConnector
from sesamepost.platform.names import ERA_HEADER

CALL_TIMEOUT_S = 0.8
# A listing or a watch goes on after its timeout while parts of its response arrive,
# each within this time of the one before. A repeated call would transfer them again.
PART_TIMEOUT_S = 0.4
MAX_TRANSFER_S = 3.0
# The store answers a watch at most this long after its wait has ended.
WATCH_GRACE_S = 1.0
# TCP keepalive detects dead connections on which a watch is waiting.
KEEP_ALIVE_IDLE_S = 2
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
USER_TIMEOUT_MS = 2000

# A page has 1 MB or one item, whose value has up to 1 MiB before base64. A watch may
# return many changes at once; if they are too large, the caller lists all items anew.
MAX_RESPONSE_BYTES = 8 << 20
# All responses that are being read together.
MAX_BYTES_IN_FLIGHT = 24 << 20

# Statuses that guarantee that the store has not executed the call.
REJECTED_STATUSES = frozenset({429, 503})

log = structlog.get_logger()


class ItemFields(Struct):
    """An item as it was written, or the key and revision of a deletion."""

    key: str
    revision: int
    value: bytes = b""
    lease: int = 0
    deleted: bool = False


class ResponseFields(Struct, rename="camel"):
    """The fields of all responses but those of a single item."""

    at_revision: int = 0
    revision: int = 0
    lease: int = 0
    truncated: bool = False
    items: list[Raw] = []
    events: list[Raw] = []


@dataclass(frozen=True, slots=True)
class Reply:
    """A conclusive response; its head arrived at ``answered_at``."""

    status: int
    content: bytes
    answered_at: float
    era: int


_ITEM_DECODER = Decoder(ItemFields)
_RESPONSE_DECODER = Decoder(ResponseFields)


class PlatformStore:
    """HTTP client of the store, used as an async context manager."""

    def __init__(self, url: str) -> None:
        self.url = url
        self.eras = StoreEras()
        self.session: aiohttp.ClientSession | None = None
        self.bytes_in_flight = 0
        self.counters: Counter[str] = Counter()

    async def __aenter__(self) -> "PlatformStore":
        connector = BoundedConnector(
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
        reply = await self._call("GET", "/kv-key", {"key": key})
        revision = self.eras.version(reply.era, _fields(reply).at_revision)
        if reply.status == 404:
            return None, revision
        items = self._versioned(reply, [reply.content])
        if not items:
            raise StoreSilentError(f"the item {key} cannot be read")
        return items[0], revision

    async def list(self, prefix: str) -> Batch:
        """Return all items whose key begins with ``prefix``."""
        events: list[Item] = []
        revision = None
        query = {"prefix": prefix}
        while True:
            reply = await self._call("GET", "/kv-range", query, is_bulk=True)
            fields = _fields(reply)
            page = self._versioned(reply, fields.items)
            events += page
            if revision is None:
                # The pages are not a snapshot. A watch from the revision of the first
                # page misses no change.
                revision = self.eras.version(reply.era, fields.at_revision)
                era = reply.era
            self.eras.require_same(reply.era, era)
            if not fields.truncated:
                return Batch(revision, tuple(events))
            if not page:
                raise StoreSilentError(f"no item of a page of {prefix} can be read")
            query = {"prefix": prefix, "after": page[-1].key}

    async def watch(self, prefix: str, after: int, wait_s: float) -> Batch:
        """Return the changes after a revision, waiting up to ``wait_s`` for one."""
        if not self.eras.is_current(after):
            raise HistoryGoneError("the revision may have been given out again")
        call_era = self.eras.current
        query = {
            "prefix": prefix,
            "after": str(self.eras.number_in(after)),
            "waitMs": str(int(wait_s * 1000)),
        }
        timeout_s = wait_s + WATCH_GRACE_S
        reply = await self._call(
            "GET", "/kv-watch", query, timeout_s=timeout_s, is_bulk=True
        )
        if reply.status == 410 or reply.era != call_era:
            raise HistoryGoneError(f"no history after revision {after}")
        fields = _fields(reply)
        events = self._versioned(reply, fields.events)
        revision = self.eras.version(reply.era, fields.at_revision)
        return Batch(revision, events, reply.answered_at)

    async def commit(self, transaction: Transaction) -> int:
        """Apply a transaction and return the revision of the change."""
        transaction = self.eras.to_send(transaction)
        call_era = self.eras.current
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
        reply = await self._call("POST", "/kv-txn", body=body)
        if reply.status == 412:
            items = self._versioned(reply, _fields(reply).items)
            raise ConditionFailedError(", ".join(transaction.conditions), items)
        if reply.status == 404:
            raise LeaseEndedError("the lease bound to a written key has ended")
        self.eras.require_same(reply.era, call_era)
        return self.eras.version(reply.era, _fields(reply).revision)

    async def open_lease(self, ttl_s: float) -> int:
        """Open a lease and return its id."""
        reply = await self._call("POST", "/kv-lease", body={"ttlS": ttl_s})
        return self.eras.version(reply.era, _fields(reply).lease)

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raise ``LeaseEndedError`` if it has ended."""
        number = self.eras.require_lease(lease)
        call_era = self.eras.current
        reply = await self._call("POST", f"/kv-keep/{number}")
        if reply.status == 404 or reply.era != call_era:
            raise LeaseEndedError(str(lease))

    async def end_lease(self, lease: int) -> None:
        """End a lease and remove the keys bound to it."""
        number = self.eras.number_in(lease)
        await self._call("DELETE", f"/kv-lease-end/{number}")

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        body: dict | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        is_bulk: bool = False,
    ) -> Reply:
        """Return a conclusive response.

        Raise ``StoreRejectedError`` if the call was not executed, and
        ``StoreSilentError`` if its outcome is unknown.
        """
        self.counters[path.split("/")[1]] += 1
        data = None
        headers = {}
        if body is not None:
            data = json.dumps(body, separators=(",", ":")).encode()
            headers["Content-Type"] = "application/json"
        answered_at = None
        try:
            async with asyncio.timeout(timeout_s) as limit:
                async with self.session.request(
                    method, self.url + path, params=query, data=data, headers=headers
                ) as response:
                    answered_at = boottime()
                    stated_era = response.headers.get(ERA_HEADER)
                    content = await self._read(response, limit if is_bulk else None)
                    status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            if answered_at is None:
                # The other connections may have fallen silent as well.
                self.session.connector.close_idle()
            raise StoreSilentError(f"{method} {path}: {error!r}") from None
        if status in REJECTED_STATUSES:
            with suppress(StoreSilentError):
                self.eras.admit(stated_era)
            raise StoreRejectedError(f"{method} {path}: status {status}")
        era = self.eras.admit(stated_era)
        if status not in (200, 404, 410, 412):
            raise StoreSilentError(f"{method} {path}: status {status}: {content[:80]}")
        return Reply(status, content, answered_at, era)

    def _versioned(
        self, reply: Reply, entries: Iterable[bytes | Raw]
    ) -> tuple[Item | Deletion, ...]:
        """Return the readable entries of a response with their versions."""
        return tuple(self.eras.event(reply.era, event) for event in _events(entries))

    async def _read(
        self, response: aiohttp.ClientResponse, limit: asyncio.Timeout | None
    ) -> bytes:
        """Return the body; raise ``StoreSilentError`` if it exceeds a limit of bytes.

        ``limit`` is the time limit to be moved while parts arrive.
        """
        content = bytearray()
        loop = asyncio.get_running_loop()
        end = loop.time() + MAX_TRANSFER_S
        try:
            async for part in response.content.iter_any():
                if limit is not None:
                    part_end = min(loop.time() + PART_TIMEOUT_S, end)
                    limit.reschedule(max(limit.when(), part_end))
                content += part
                self.bytes_in_flight += len(part)
                if (
                    len(content) > MAX_RESPONSE_BYTES
                    or self.bytes_in_flight > MAX_BYTES_IN_FLIGHT
                ):
                    response.close()
                    raise StoreSilentError(
                        f"the response exceeds a limit after {len(content)} bytes"
                    )
        finally:
            self.bytes_in_flight -= len(content)
        return bytes(content)


def _fields(reply: Reply) -> ResponseFields:
    """Return the fields of a response; only a refusal may lack them."""
    try:
        return _RESPONSE_DECODER.decode(reply.content)
    except (ValueError, RecursionError) as error:
        if reply.status == 200:
            raise StoreSilentError(f"the response cannot be read: {error}") from None
        return ResponseFields()


def _events(entries: Iterable[bytes | Raw]) -> list[Item | Deletion]:
    """Return the readable entries; an odd one costs only itself and a log line."""
    events = []
    for entry in entries:
        try:
            fields = _ITEM_DECODER.decode(entry)
        except (ValueError, RecursionError) as error:
            log.warning("store_entry_unreadable", error=str(error))
            continue
        if fields.deleted:
            events.append(Deletion(fields.key, fields.revision))
        else:
            events.append(Item(fields.key, fields.value, fields.revision, fields.lease))
    return events


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
