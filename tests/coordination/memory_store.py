"""An in-memory store whose leases tests can end and whose calls they can fail."""

import asyncio
from contextlib import suppress

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.eras import StoreEras
from sesamepost.internal.coordination.store import (
    Batch,
    ConditionFailedError,
    Deletion,
    Item,
    LeaseEndedError,
    StoreError,
    StoreSilentError,
    Transaction,
    Write,
)

MAX_TRANSACTION_ENTRIES = 32


class MemoryStore:
    """Implements ``CoordinationStore``; leases end only through ``end_lease``.

    ``failure`` is raised by every call but ``end_lease`` if set, ``watch_failure`` only
    by watches. If ``loses_next_answer`` is set, the next transaction takes effect, but
    its response is lost.
    """

    def __init__(self) -> None:
        self.eras = StoreEras()
        self.items: dict[str, Item] = {}
        self.events: list[Item | Deletion] = []
        self.revision = 0
        self.leases: set[int] = set()
        self.next_lease = 0
        self.failure: StoreError | None = None
        self.watch_failure: StoreError | None = None
        self.loses_next_answer = False
        self.commits: list[Transaction] = []
        self.changed = asyncio.Condition()

    def _check(self) -> None:
        if self.failure is not None:
            raise self.failure

    def _check_watch(self) -> None:
        self._check()
        if self.watch_failure is not None:
            raise self.watch_failure

    async def get(self, key: str) -> tuple[Item | None, int]:
        self._check()
        return self.items.get(key), self.revision

    async def list(self, prefix: str) -> Batch:
        self._check()
        found = [i for key, i in self.items.items() if key.startswith(prefix)]
        return Batch(self.revision, tuple(found))

    async def watch(self, prefix: str, after: int, wait_s: float) -> Batch:
        self._check_watch()
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self.changed:
                while not self._events_after(prefix, after):
                    await self.changed.wait()
                    self._check_watch()
        found = self._events_after(prefix, after)
        return Batch(self.revision, tuple(found), boottime())

    async def commit(self, transaction: Transaction) -> int:
        self._check()
        parts = (transaction.conditions, transaction.writes, transaction.deletes)
        if sum(map(len, parts)) > MAX_TRANSACTION_ENTRIES:
            raise StoreSilentError("the transaction is too large for the store")
        for key, revision in transaction.conditions.items():
            item = self.items.get(key)
            if (0 if item is None else item.revision) != revision:
                raise ConditionFailedError(key)
        for write in transaction.writes:
            if write.lease and write.lease not in self.leases:
                raise LeaseEndedError(str(write.lease))
        self.commits.append(transaction)
        self.revision += 1
        for write in transaction.writes:
            item = Item(write.key, write.value, self.revision, write.lease)
            self.items[write.key] = item
            self.events.append(item)
        for key in transaction.deletes:
            if self.items.pop(key, None) is not None:
                self.events.append(Deletion(key, self.revision))
        await self._notify()
        if self.loses_next_answer:
            self.loses_next_answer = False
            raise StoreSilentError("the response was lost")
        return self.revision

    async def remove(self, key: str) -> None:
        """Remove a key, as the operator does."""
        del self.items[key]
        self.revision += 1
        self.events.append(Deletion(key, self.revision))
        await self._notify()

    async def open_lease(self, ttl_s: float) -> int:
        self._check()
        self.next_lease += 1
        self.leases.add(self.next_lease)
        return self.next_lease

    async def renew_lease(self, lease: int) -> None:
        self._check()
        if lease not in self.leases:
            raise LeaseEndedError(str(lease))

    async def end_lease(self, lease: int) -> None:
        self.leases.discard(lease)
        for key, item in list(self.items.items()):
            if item.lease != lease:
                continue
            del self.items[key]
            self.revision += 1
            self.events.append(Deletion(key, self.revision))
        await self._notify()

    def _events_after(self, prefix: str, after: int):
        return [
            e for e in self.events if e.revision > after and e.key.startswith(prefix)
        ]

    async def _notify(self) -> None:
        async with self.changed:
            self.changed.notify_all()


class SlowStore(MemoryStore):
    """Delays each transaction, so that concurrent writes conflict."""

    async def commit(self, transaction: Transaction) -> int:
        await asyncio.sleep(0.01)
        return await super().commit(transaction)


class LateStore(MemoryStore):
    """Leaves transactions unanswered while ``is_late`` is set; ``carry_out`` does one.

    ``late`` holds the unanswered transactions in the order of their arrival.
    """

    def __init__(self) -> None:
        super().__init__()
        self.is_late = False
        self.late: list[Transaction] = []

    async def commit(self, transaction: Transaction) -> int:
        if self.is_late:
            self.late.append(transaction)
            raise StoreSilentError("the response is late")
        return await super().commit(transaction)

    async def carry_out(self) -> None:
        """Carry out the first unanswered transaction if its conditions still hold."""
        with suppress(ConditionFailedError):
            await super().commit(self.late[0])


async def put(store: MemoryStore, key: str, value: bytes) -> None:
    """Set the value of ``key``, whether it exists or not."""
    revision = store.items[key].revision if key in store.items else 0
    await store.commit(Transaction({key: revision}, (Write(key, value),)))
