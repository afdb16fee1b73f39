"""The platform's metadata store in memory, on the clock of the event loop.

It follows the page of the platform, "The platform's metadata store". Each caller has a
client of its own, whose calls can be made to fail in the ways that the page allows.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass

from sesamepost.internal.coordination.store import (
    Batch,
    ConditionFailedError,
    Deletion,
    Item,
    LeaseEndedError,
    StoreSilentError,
    Transaction,
    Write,
)
from tests.checker.store_client import StoreClient

MAX_ENTRIES = 32
MAX_EVENTS = 500
OPERATOR_PREFIX = "op/"


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """What the store kept at a moment; ``leases`` are the times of each lease."""

    items: dict[str, Item]
    events: list[Item | Deletion]
    revision: int
    oldest_revision: int
    leases: dict[int, float]
    next_lease: int


@dataclass(slots=True)
class Lease:
    """A lease and the timer that ends it, None while leases pause."""

    ttl_s: float
    ends_at: float
    timer: asyncio.TimerHandle | None = None


class Store:
    """The state of the store and the calls that change it, without any delay.

    ``put``, ``remove`` and ``end_lease`` take effect whatever faults the clients have,
    so that events of the checker can use them. ``is_down`` makes the calls of all
    clients fail; leases then pause, or expire if ``leases_pause`` is False.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.items: dict[str, Item] = {}
        self.events: list[Item | Deletion] = []
        # The counter starts above 0, which stands for a key that does not exist.
        self.revision = 1
        self.oldest_revision = 0
        self.leases: dict[int, Lease] = {}
        self.next_lease = 1000
        # What all answers state, unless it is None.
        self.era: int | None = None
        self.leases_pause = True
        self.is_down = False
        self.clients: dict[str, StoreClient] = {}
        self.watching: set[asyncio.Future] = set()
        # Carried out calls by kind, with late ones.
        self.executed: Counter[str] = Counter()

    def client(self, name: str) -> "StoreClient":
        """Return the client of a caller, which is kept for the name."""
        if name not in self.clients:
            self.clients[name] = StoreClient(self, name)
        return self.clients[name]

    @property
    def calls(self) -> Counter[str]:
        """The calls of all clients by kind, with those that failed."""
        return sum((c.calls for c in self.clients.values()), Counter())

    def go_down(self) -> None:
        """Fail all calls, end all watches and let leases pause if they do."""
        self.is_down = True
        self.cut_watches()
        if not self.leases_pause:
            return
        for lease in self.leases.values():
            lease.timer.cancel()
            lease.timer = None
            lease.ends_at -= self.loop.time()

    def come_back(self) -> None:
        """Serve calls again."""
        self.is_down = False
        for number, lease in self.leases.items():
            if lease.timer is None:
                self._start_timer(number, lease, lease.ends_at)

    def take_copy(self) -> StoreCopy:
        """Return a copy of all that the store keeps."""
        return StoreCopy(
            dict(self.items),
            list(self.events),
            self.revision,
            self.oldest_revision,
            {number: lease.ttl_s for number, lease in self.leases.items()},
            self.next_lease,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy in the next era; its leases begin anew.

        What the operator has written is written again.
        """
        operators = [
            item for key, item in self.items.items() if key.startswith(OPERATOR_PREFIX)
        ]
        for lease in self.leases.values():
            if lease.timer is not None:
                lease.timer.cancel()
        self.items, self.events = dict(copy.items), list(copy.events)
        self.revision, self.next_lease = copy.revision, copy.next_lease
        self.oldest_revision = copy.oldest_revision
        self.leases = {n: Lease(ttl_s, 0.0) for n, ttl_s in copy.leases.items()}
        for number, lease in self.leases.items():
            self._start_timer(number, lease, lease.ttl_s)
        self.era = (self.era or 0) + 1
        self.is_down = False
        self.cut_watches()
        for item in operators:
            if item.key not in self.items or self.items[item.key].value != item.value:
                self.put(item.key, item.value)

    def cut_watches(self) -> None:
        """Break the connections of all watches that wait."""
        for waiting in list(self.watching):
            if not waiting.done():
                waiting.set_exception(StoreSilentError("the watch was cut"))

    def forget_history(self) -> None:
        """Drop all events, so that watches from older revisions must list again."""
        self.events.clear()
        self.oldest_revision = self.revision

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a value, as the operator does."""
        return self.commit(Transaction({}, (Write(key, value, lease),)))

    def revoke(self, key: str) -> None:
        """Remove an entry although its lease lives."""
        if key in self.items:
            self.commit(Transaction({}, (), (key,)))

    def get(self, key: str) -> tuple[Item | None, int]:
        """Return an item and the present revision."""
        return self.items.get(key), self.revision

    def list(self, prefix: str) -> Batch:
        """Return the items under a prefix in the order of their keys."""
        keys = sorted(key for key in self.items if key.startswith(prefix))
        return Batch(self.revision, tuple(self.items[key] for key in keys))

    def changes(self, prefix: str, after: int) -> Batch:
        """Return the changes after a revision."""
        events = []
        for event in reversed(self.events):
            if event.revision <= after:
                break
            if event.key.startswith(prefix):
                events.append(event)
        return Batch(self.revision, tuple(reversed(events)))

    def commit(self, transaction: Transaction) -> int:
        """Carry out a transaction if its conditions hold."""
        parts = (transaction.conditions, transaction.writes, transaction.deletes)
        if sum(map(len, parts)) > MAX_ENTRIES:
            raise StoreSilentError("the transaction has too many entries")
        found = [self.items[k] for k in transaction.conditions if k in self.items]
        revisions = {item.key: item.revision for item in found}
        for key, revision in transaction.conditions.items():
            if revisions.get(key, 0) != revision:
                detail = ", ".join(transaction.conditions)
                raise ConditionFailedError(detail, tuple(found))
        for write in transaction.writes:
            if write.lease and write.lease not in self.leases:
                raise LeaseEndedError("the lease bound to a written key has ended")
        self.revision += 1
        for write in transaction.writes:
            item = Item(write.key, write.value, self.revision, write.lease)
            self.items[write.key] = item
            self._record(item)
        for key in transaction.deletes:
            if self.items.pop(key, None) is not None:
                self._record(Deletion(key, self.revision))
        self._wake_watches()
        return self.revision

    def open_lease(self, ttl_s: float) -> int:
        """Open a lease and return its id."""
        number = self.next_lease
        self.next_lease += 1
        lease = Lease(ttl_s, 0.0)
        self.leases[number] = lease
        self._start_timer(number, lease, ttl_s)
        return number

    def renew_lease(self, number: int) -> None:
        """Let a lease run for its whole time from now."""
        lease = self.leases.get(number)
        if lease is None:
            raise LeaseEndedError(str(number))
        if lease.timer is not None:
            lease.timer.cancel()
        self._start_timer(number, lease, lease.ttl_s)

    def end_lease(self, number: int) -> None:
        """End a lease, if it has not ended, and remove its keys."""
        lease = self.leases.pop(number, None)
        if lease is not None and lease.timer is not None:
            lease.timer.cancel()
        for key in [k for k, item in self.items.items() if item.lease == number]:
            del self.items[key]
            self.revision += 1
            self._record(Deletion(key, self.revision))
        self._wake_watches()

    def _start_timer(self, number: int, lease: Lease, duration_s: float) -> None:
        lease.ends_at = self.loop.time() + duration_s
        lease.timer = self.loop.call_at(lease.ends_at, self.end_lease, number)

    def _record(self, event: Item | Deletion) -> None:
        self.events.append(event)
        if len(self.events) > MAX_EVENTS:
            self.oldest_revision = self.events.pop(0).revision

    def _wake_watches(self) -> None:
        for waiting in self.watching:
            if not waiting.done():
                waiting.set_result(None)
