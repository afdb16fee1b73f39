"""A store that each node reaches over its own link of limited bandwidth."""

import asyncio
from collections.abc import Awaitable, Callable

from sesamepost.internal.coordination.store import (
    Batch,
    Deletion,
    Item,
    StoreSilentError,
    Transaction,
)
from tests.coordination.memory_store import MemoryStore

CALL_TIMEOUT_S = 0.8
WATCH_GRACE_S = 1.0
CHUNK_BYTES = 8192
# Values are transferred in base64.
BASE64_FACTOR = 4 / 3
HEADER_BYTES = 300


class NarrowLinkStore:
    """One node's access to the store; its concurrent calls share the link in chunks."""

    def __init__(self, store: MemoryStore, bytes_per_s: float, rtt_s: float) -> None:
        self.store = store
        self.eras = store.eras
        self.bytes_per_s = bytes_per_s
        self.rtt_s = rtt_s
        self.link = asyncio.Lock()
        self.transferred_bytes = 0

    async def get(self, key: str) -> tuple[Item | None, int]:
        return await self._call(lambda: self._get(key), CALL_TIMEOUT_S)

    async def list(self, prefix: str) -> Batch:
        return await self._call(lambda: self._list(prefix), CALL_TIMEOUT_S)

    async def watch(self, prefix: str, after: int, wait_s: float) -> Batch:
        timeout_s = wait_s + WATCH_GRACE_S
        return await self._call(lambda: self._watch(prefix, after, wait_s), timeout_s)

    async def commit(self, transaction: Transaction) -> int:
        return await self._call(lambda: self._commit(transaction), CALL_TIMEOUT_S)

    async def open_lease(self, ttl_s: float) -> int:
        return await self._call(lambda: self.store.open_lease(ttl_s), CALL_TIMEOUT_S)

    async def renew_lease(self, lease: int) -> None:
        await self._call(lambda: self.store.renew_lease(lease), CALL_TIMEOUT_S)

    async def end_lease(self, lease: int) -> None:
        await self._call(lambda: self.store.end_lease(lease), CALL_TIMEOUT_S)

    async def _call(self, call: Callable[[], Awaitable], timeout_s: float):
        try:
            async with asyncio.timeout(timeout_s):
                await self._transfer(HEADER_BYTES)
                await asyncio.sleep(self.rtt_s)
                return await call()
        except TimeoutError:
            raise StoreSilentError("no response in time") from None

    async def _get(self, key: str) -> tuple[Item | None, int]:
        item, revision = await self.store.get(key)
        await self._transfer_events([item] if item else [])
        return item, revision

    async def _list(self, prefix: str) -> Batch:
        batch = await self.store.list(prefix)
        await self._transfer_events(batch.events)
        return batch

    async def _watch(self, prefix: str, after: int, wait_s: float) -> Batch:
        batch = await self.store.watch(prefix, after, wait_s)
        await self._transfer_events(batch.events)
        return batch

    async def _commit(self, transaction: Transaction) -> int:
        for write in transaction.writes:
            await self._transfer(HEADER_BYTES + len(write.value) * BASE64_FACTOR)
        return await self.store.commit(transaction)

    async def _transfer_events(self, events) -> None:
        for event in events:
            size = 0 if isinstance(event, Deletion) else len(event.value)
            await self._transfer(HEADER_BYTES + size * BASE64_FACTOR)

    async def _transfer(self, size: float) -> None:
        while size > 0:
            chunk = min(size, CHUNK_BYTES)
            async with self.link:
                await asyncio.sleep(chunk / self.bytes_per_s)
            self.transferred_bytes += chunk
            size -= chunk
