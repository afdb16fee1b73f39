"""The interface to a store with transactions, leases and watches.

``internal/store`` covers single values and their versions. This interface adds
transactions with conditions on several keys, which range tables need.
"""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sesamepost.internal.coordination.eras import StoreEras


class StoreError(Exception):
    """A store call failed; the subclass tells whether it may have taken effect."""


class StoreSilentError(StoreError):
    """No complete response arrived, so the call may take effect, now or later."""


class WatchOverdueError(StoreSilentError):
    """A watch received no response in time, though the store may be reachable.

    The response may be too large for the link. A listing is smaller, since it contains
    only the newest items.
    """


class EraChangedError(StoreSilentError):
    """The store came back from an older copy during the call, which may have acted."""


class StoreRejectedError(StoreError):
    """The store rejected the call, which had no effect."""


class HistoryGoneError(StoreError):
    """The store no longer has the changes after the revision of a watch."""


class LeaseEndedError(StoreError):
    """The lease no longer exists."""


class ConditionFailedError(StoreError):
    """A condition of a transaction did not hold, so nothing was written.

    ``items`` are the existing items among the keys of the conditions, if the store
    returned them.
    """

    def __init__(self, detail: str, items: "tuple[Item, ...]" = ()) -> None:
        super().__init__(detail)
        self.items = items


@dataclass(frozen=True, slots=True)
class Item:
    """A key with its value, the revision of its last change and its lease (0: none).

    Here and below, a revision is a version as in ``coordination/eras``.
    """

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
    """The items or changes up to ``revision`` of the store.

    The store had no later change at ``answered_at`` or before the call was sent,
    whichever is later. It is a time of ``internal/clock``.
    """

    revision: int
    events: tuple[Item | Deletion, ...]
    answered_at: float = field(default=float("-inf"), compare=False)


@dataclass(frozen=True, slots=True)
class Write:
    """A value to set, bound to ``lease`` unless ``lease`` is 0."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes and deletes that are applied atomically if all ``conditions`` hold.

    ``conditions`` maps each key to the required revision of its last change; 0 means
    that the key must not exist.
    """

    conditions: dict[str, int]
    writes: tuple[Write, ...] = ()
    deletes: tuple[str, ...] = ()


class CoordinationStore(Protocol):
    """The calls of the store. Each may raise ``StoreError``."""

    eras: "StoreEras"

    async def get(self, key: str) -> tuple[Item | None, int]:
        """Return the item at ``key``, or None, and the revision of the store."""

    async def list(self, prefix: str) -> Batch:
        """Return all items whose key begins with ``prefix``."""

    async def watch(self, prefix: str, after: int, wait_s: float) -> Batch:
        """Return the changes after revision ``after``.

        Wait up to ``wait_s`` seconds for the first one.
        """

    async def commit(self, transaction: Transaction) -> int:
        """Apply a transaction and return the revision of the change."""

    async def open_lease(self, ttl_s: float) -> int:
        """Open a lease and return its id."""

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raise ``LeaseEndedError`` if it has ended."""

    async def end_lease(self, lease: int) -> None:
        """End a lease and remove the keys bound to it."""
