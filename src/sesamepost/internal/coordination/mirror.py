"""A copy of the store's keys in memory, kept up to date by one watch."""

import asyncio
from collections import Counter
from collections.abc import Callable
from contextlib import suppress

import structlog
from reactivex.subject import Subject

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.store import (
    Batch,
    CoordinationStore,
    Deletion,
    HistoryGoneError,
    Item,
    StoreError,
)
from sesamepost.internal.tasks import TaskOwner

WATCH_WAIT_S = 25.0
FIRST_WATCH_WAIT_S = 0.2
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8
# Changes that follow each other within this time share one call of the store.
PAUSE_S = 0.8

log = structlog.get_logger()


class Mirror(TaskOwner):
    """Holds the newest known item of every key under a prefix.

    ``changes`` is an observable of ``Item`` and ``Deletion``. An item older than the
    one held is ignored. ``missing_since`` says since when a key is known to be absent
    without a gap: a listing after lost history starts the time anew, because the key
    may have existed in between.
    """

    def __init__(self, store: CoordinationStore, prefix: str = "") -> None:
        self.store = store
        self.prefix = prefix
        self.items: dict[str, Item] = {}
        self.revision = 0
        self.missing: dict[str, float] = {}
        self.changes: Subject = Subject()
        self.counters: Counter[str] = Counter()
        self.in_contact = False
        self.changed = asyncio.Event()
        self.on_contact: Callable[[bool], None] = lambda in_contact: None

    def get(self, key: str) -> Item | None:
        """Return the item held for ``key``."""
        return self.items.get(key)

    def revision_of(self, key: str) -> int:
        """Return the revision of the last change of ``key``, 0 if it is absent."""
        item = self.items.get(key)
        return 0 if item is None else item.revision

    def missing_since(self, key: str, now: float) -> float:
        """Return since when ``key`` has been absent, ``now`` if it was never seen."""
        return self.missing.setdefault(key, now)

    def offer(self, item: Item) -> None:
        """Take an item that was learned in another way, such as by an own write."""
        self._apply(item, boottime())

    async def wait_for_change(self, timeout_s: float) -> None:
        """Return after the next change, or after ``timeout_s``."""
        event = self.changed
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await event.wait()

    async def run(self) -> None:
        """Follow the store."""
        retry_s = RETRY_MIN_S
        listed = False
        while True:
            try:
                if not listed:
                    self._replace(await self.store.list(self.prefix))
                    listed = True
                else:
                    self._take(await self._watch())
                retry_s = RETRY_MIN_S
                self._set_contact(True, "")
            except HistoryGoneError:
                log.info("store_history_gone", revision=self.revision)
                listed = False
                await asyncio.sleep(RETRY_MIN_S)
            except StoreError as error:
                self.counters["failures"] += 1
                self._set_contact(False, str(error))
                await asyncio.sleep(retry_s)
                retry_s = min(retry_s * 2, RETRY_MAX_S)

    async def _watch(self) -> Batch:
        await asyncio.sleep(PAUSE_S)
        self.counters["watches"] += 1
        # Contact is known again when a watch ends, so the first one is short.
        wait_s = WATCH_WAIT_S if self.in_contact else FIRST_WATCH_WAIT_S
        return await self.store.watch(self.prefix, self.revision, wait_s)

    def _set_contact(self, in_contact: bool, reason: str) -> None:
        if in_contact == self.in_contact:
            return
        self.in_contact = in_contact
        event = "store_contact_regained" if in_contact else "store_contact_lost"
        log.info(event, revision=self.revision, reason=reason)
        self.on_contact(in_contact)

    def _replace(self, batch: Batch) -> None:
        """Take a complete listing, which also shows what is gone."""
        now = boottime()
        present = {event.key for event in batch.events}
        for key in self.missing:
            self.missing[key] = now
        for key, item in list(self.items.items()):
            # An own write may be newer than the listing.
            if key not in present and item.revision <= batch.revision:
                self._apply(Deletion(key, batch.revision), now)
        self._take(batch)

    def _take(self, batch: Batch) -> None:
        now = boottime()
        for event in batch.events:
            self._apply(event, now)
        self.revision = max(self.revision, batch.revision)

    def _apply(self, event: Item | Deletion, now: float) -> None:
        held = self.items.get(event.key)
        if held is not None and event.revision <= held.revision:
            return
        match event:
            case Item():
                self.items[event.key] = event
                self.missing.pop(event.key, None)
            case Deletion():
                self.items.pop(event.key, None)
                self.missing[event.key] = now
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        self.changes.on_next(event)
