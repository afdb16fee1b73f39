"""The interface to a store with transactions, leases and a watch.

``internal/store`` speaks of single values and versions; this interface adds conditions
on several keys at once, which range tables need.
"""

from dataclasses import dataclass
from typing import Protocol


class StoreError(Exception):
    """A call failed; the subclasses say whether it may have taken effect."""


class StoreSilentError(StoreError):
    """No complete answer arrived: the call may take effect, now or later."""


class WatchOverdueError(StoreSilentError):
    """A watch had no answer in its time, which does not show that the store is lost.

    Its answer may be too large for the link. A listing has only the newest items.
    """


class StoreRejectedError(StoreError):
    """The store answered that it did nothing."""


class HistoryGoneError(StoreError):
    """The store no longer has the changes after the revision of a watch."""


class LeaseEndedError(StoreError):
    """The lease does not exist any more."""


class ConditionFailedError(StoreError):
    """A condition of a transaction did not hold, so nothing was written.

    ``items`` are those keys of the conditions that exist, if the store told them.
    """

    def __init__(self, detail: str, items: "tuple[Item, ...]" = ()) -> None:
        super().__init__(detail)
        self.items = items


@dataclass(frozen=True, slots=True)
class Item:
    """A key with its value, the revision of its last change and its lease (0: none)."""

    key: str
    value: bytes
    revision: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Deletion:
    """A key that was removed at ``revision``."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Batch:
    """Items or changes up to ``revision`` of the store."""

    revision: int
    events: tuple[Item | Deletion, ...]


@dataclass(frozen=True, slots=True)
class Write:
    """A value to set, bound to ``lease`` unless that is 0."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Transaction:
    """All ``writes`` and ``deletes`` happen if all ``conditions`` hold.

    ``conditions`` maps keys to the revision of their last change; 0 means that the key
    must not exist.
    """

    conditions: dict[str, int]
    writes: tuple[Write, ...] = ()
    deletes: tuple[str, ...] = ()


class CoordinationStore(Protocol):
    """Calls of the store. All raise ``StoreError``."""

    async def get(self, key: str) -> tuple[Item | None, int]:
        """Return the newest item at ``key``, or None, and the store's revision."""

    async def list(self, prefix: str) -> Batch:
        """Return all items whose key begins with ``prefix``."""

    async def watch(self, prefix: str, after: int, wait_s: float) -> Batch:
        """Return the changes after a revision, waiting for the first one."""

    async def commit(self, transaction: Transaction) -> int:
        """Apply a transaction and return the revision of the change."""

    async def open_lease(self, ttl_s: float) -> int:
        """Open a lease and return its id."""

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raise ``LeaseEndedError`` if it has ended."""

    async def end_lease(self, lease: int) -> None:
        """End a lease and remove the keys bound to it."""
