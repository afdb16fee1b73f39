"""The calls of a ``CoordinationStore`` on answers that may state an era.

They convert numbers as ``platform/store`` does.
"""

from dataclasses import dataclass, replace
from typing import Any

from sesamepost.internal.coordination.eras import StoreEras
from sesamepost.internal.coordination.store import (
    Batch,
    ConditionFailedError,
    HistoryGoneError,
    Item,
    LeaseEndedError,
    StoreError,
    Transaction,
)


@dataclass(frozen=True, slots=True)
class Answer:
    """A result of the store or its error, and the era that the answer states."""

    outcome: Any
    stated: str | None


class VersionedCalls:
    """Implements ``CoordinationStore`` on ``ask``.

    ``ask(kind, *arguments)`` returns an ``Answer``, or raises ``StoreError`` without.
    """

    def __init__(self) -> None:
        self.eras = StoreEras()

    async def get(self, key: str) -> tuple[Item | None, int]:
        """Return the item at ``key``, or None, and the revision of the store."""
        era, (item, revision) = await self._call("get", key)
        if item is not None:
            item = self.eras.event(era, item)
        return item, self.eras.version(era, revision)

    async def list(self, prefix: str) -> Batch:
        """Return all items whose key begins with ``prefix``."""
        era, batch = await self._call("list", prefix)
        return self._versioned(era, batch)

    async def watch(self, prefix: str, after: int, wait_s: float) -> Batch:
        """Return the changes after a revision, waiting up to ``wait_s`` for one."""
        if not self.eras.is_current(after):
            raise HistoryGoneError("the revision may have been given out again")
        call_era = self.eras.current
        number = self.eras.number_in(after)
        era, batch = await self._call("watch", prefix, number, wait_s)
        if era != call_era:
            raise HistoryGoneError("the era rose during the watch")
        return self._versioned(era, batch)

    async def commit(self, transaction: Transaction) -> int:
        """Apply a transaction and return the revision of the change."""
        sent = self.eras.to_send(transaction)
        call_era = self.eras.current
        era, revision = await self._call("commit", sent)
        self.eras.require_same(era, call_era)
        return self.eras.version(era, revision)

    async def open_lease(self, ttl_s: float) -> int:
        """Open a lease and return its id."""
        era, lease = await self._call("open_lease", ttl_s)
        return self.eras.version(era, lease)

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raise ``LeaseEndedError`` if it has ended."""
        number = self.eras.require_lease(lease)
        call_era = self.eras.current
        era, _ = await self._call("renew_lease", number)
        if era != call_era:
            raise LeaseEndedError(str(lease))

    async def end_lease(self, lease: int) -> None:
        """End a lease and remove the keys bound to it."""
        await self._call("end_lease", self.eras.number_in(lease))

    async def ask(self, kind: str, *arguments) -> Answer:
        """Return the answer to a call."""
        raise NotImplementedError

    async def _call(self, kind: str, *arguments) -> tuple[int, Any]:
        answer = await self.ask(kind, *arguments)
        era = self.eras.admit(answer.stated)
        match answer.outcome:
            case ConditionFailedError(items=items):
                versioned = tuple(self.eras.event(era, item) for item in items)
                raise ConditionFailedError(str(answer.outcome), versioned)
            case StoreError():
                raise answer.outcome
        return era, answer.outcome

    def _versioned(self, era: int, batch: Batch) -> Batch:
        events = tuple(self.eras.event(era, event) for event in batch.events)
        revision = self.eras.version(era, batch.revision)
        return replace(batch, revision=revision, events=events)
