"""An in-memory copy of the store's keys, kept up to date by a single watch."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Protocol

import structlog
from reactivex.subject import Subject

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.eras import era_of, revision_in
from sesamepost.internal.coordination.store import (
    Batch,
    CoordinationStore,
    Deletion,
    HistoryGoneError,
    Item,
    StoreError,
    StoreSilentError,
    WatchOverdueError,
)
from sesamepost.internal.tasks import TaskOwner

FIRST_WATCH_WAIT_S = 0.2
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8
# The mirror lists the keys again after this many unanswered calls in a row. A watch
# returns every change since the held revision, which may be too much for a narrow link;
# a listing returns only the newest items.
UNANSWERED_CALLS_BEFORE_LISTING = 2
# All nodes list the store after a rise of its era, so each waits for up to this time.
LISTING_SPREAD_S = 0.5
# Exceeds the number of node entries in the largest fleet.
MAX_DELETIONS = 4096
# Of a call and the head of its response together.
MAX_TRANSIT_S = 0.1
# A longer gap between two confirmations of the data may delay new settings.
LONG_GAP_S = 2.0

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class WatchPace:
    """Timing of a watch.

    Changes within ``pause_s`` seconds are returned by one call. A call without changes
    ends after ``wait_s`` seconds.
    """

    pause_s: float
    wait_s: float


# The response to a watch may be lost without an error. The changes then come late by
# the whole wait.
WATCH_PACE = WatchPace(pause_s=0.8, wait_s=1.2)


class ChangeFeed(Protocol):
    """A source of changes that is used in place of the store."""

    async def follow(self, revision: int) -> tuple[Batch, float] | None:
        """Return the changes after ``revision`` and the age of the data in seconds.

        Return None if the store must be watched instead. Raise ``HistoryGoneError`` if
        the feed cannot list all changes after ``revision``.
        """

    def pace(self) -> WatchPace:
        """Return the pace at which the store is watched."""


class Mirror(TaskOwner):
    """Holds the newest known item of every key under a prefix.

    ``changes`` is an observable of ``Item`` and ``Deletion``. An item older than the
    one held, or of an earlier era than the last listing, is ignored. ``missing_since``
    returns the time since which a key is known to have been absent without
    interruption. A listing, such as the one after lost history, resets that time,
    because the key may have existed unobserved before it.
    """

    def __init__(self, store: CoordinationStore, prefix: str = "") -> None:
        self.store = store
        self.prefix = prefix
        self.items: dict[str, Item] = {}
        self.revision = 0
        self.missing: dict[str, float] = {}
        # Revisions of deletions; those before ``complete_since`` may be missing.
        self.deleted: dict[str, int] = {}
        self.complete_since = 0
        # Whether the last watch returned changes, as more often follow soon.
        self.has_just_changed = False
        # The items are known to have matched the store at this time.
        self.confirmed_at = float("-inf")
        self.feed: ChangeFeed | None = None
        self.changes: Subject = Subject()
        self.counters: Counter[str] = Counter()
        self.in_contact = False
        self.changed = asyncio.Event()
        self.on_contact: Callable[[bool], None] = lambda in_contact: None

    @property
    def has_listed(self) -> bool:
        """Whether all keys were known at some time."""
        return self.confirmed_at > float("-inf")

    def get(self, key: str) -> Item | None:
        """Return the item held for ``key``, or None."""
        return self.items.get(key)

    def revision_of(self, key: str) -> int:
        """Return the revision of the last change of ``key``, or 0 if it is absent."""
        item = self.items.get(key)
        return 0 if item is None else item.revision

    def missing_since(self, key: str, now: float) -> float:
        """Return the time since which ``key`` is absent; record ``now`` if unknown."""
        return self.missing.setdefault(key, now)

    def offer(self, event: Item | Deletion) -> None:
        """Apply a change from another source than the watch, such as an own write."""
        self._apply(event, boottime())

    @property
    def is_current(self) -> bool:
        """Whether the store was listed in its present era."""
        return era_of(self.revision) == self.store.eras.current

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait for the next change, for at most ``timeout_s`` seconds."""
        event = self.changed
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await event.wait()

    def changes_after(self, revision: int) -> Batch:
        """Return the changes after ``revision``, as a watch of the store would.

        Only the newest known change of each key is included, which may be newer than
        the revision of the batch, such as an own write. It replaces an earlier change
        of its key that the recipient may not have. Raise ``HistoryGoneError`` if
        some deletions after ``revision`` may be unknown.
        """
        if revision < self.complete_since:
            raise HistoryGoneError(
                f"deletions are known only since revision {self.complete_since}"
            )
        if revision >= self.revision:
            return Batch(self.revision, ())
        found: list[Item | Deletion] = [
            item for item in self.items.values() if revision < item.revision
        ]
        found += [
            Deletion(key, deleted)
            for key, deleted in self.deleted.items()
            if revision < deleted <= self.revision
        ]
        found.sort(key=lambda event: event.revision)
        return Batch(self.revision, tuple(found))

    async def run(self) -> None:
        """Keep the items up to date with the store."""
        retry_s = RETRY_MIN_S
        listed = False
        unanswered_calls = 0
        while True:
            try:
                if listed and not self.is_current:
                    listed = False
                    await self._pause_before_listing()
                if not listed:
                    await self._list()
                    listed = True
                elif not await self._follow():
                    await self._watch()
                retry_s = RETRY_MIN_S
                unanswered_calls = 0
                self._set_contact(True, "")
            except HistoryGoneError:
                log.info("store_history_gone", revision=self.revision)
                listed = False
                await self._pause_before_listing()
            except StoreError as error:
                self.counters["failures"] += 1
                self._set_contact(False, str(error))
                unanswered_calls += isinstance(error, StoreSilentError)
                is_overdue = isinstance(error, WatchOverdueError)
                if is_overdue or unanswered_calls >= UNANSWERED_CALLS_BEFORE_LISTING:
                    listed = False
                await asyncio.sleep(retry_s)
                retry_s = min(retry_s * 2, RETRY_MAX_S)
            except Exception:
                # If the mirror stopped, the node would keep outdated settings forever.
                log.exception("mirror_failed", revision=self.revision)
                listed = False
                await asyncio.sleep(RETRY_MAX_S)

    async def _pause_before_listing(self) -> None:
        is_rise = not self.is_current
        pause_s = random.uniform(0.0, LISTING_SPREAD_S) if is_rise else RETRY_MIN_S
        await asyncio.sleep(pause_s)

    async def _list(self) -> None:
        sent_at = boottime()
        batch = await self.store.list(self.prefix)
        self._replace(batch)
        self._record_confirmation(sent_at, "listing", batch, sent_at)

    async def _follow(self) -> bool:
        """Apply changes from the feed; return whether the store need not be watched."""
        if self.feed is None:
            return False
        sent_at = boottime()
        followed = await self.feed.follow(self.revision)
        if followed is None:
            return False
        batch, age_s = followed
        self.counters["follows"] += 1
        self._apply_batch(batch)
        self._record_confirmation(sent_at - age_s, "reader", batch, sent_at)
        return True

    async def _watch(self) -> None:
        pace = WATCH_PACE if self.feed is None else self.feed.pace()
        if self.has_just_changed:
            await asyncio.sleep(pace.pause_s)
        self.has_just_changed = False
        self.counters["watches"] += 1
        # Contact is confirmed only when a watch ends, so the first one is short.
        wait_s = pace.wait_s if self.in_contact else FIRST_WATCH_WAIT_S
        sent_at = boottime()
        batch = await self.store.watch(self.prefix, self.revision, wait_s)
        self.has_just_changed = bool(batch.events)
        self._apply_batch(batch)
        # What arrives later than this was under way, or waited for this process.
        latest = sent_at + wait_s + MAX_TRANSIT_S
        as_of = max(sent_at, min(batch.answered_at, latest))
        self._record_confirmation(as_of, "watch", batch, sent_at)

    def _record_confirmation(
        self, as_of: float, source: str, batch: Batch, sent_at: float
    ) -> None:
        """Record that the items matched the store at ``as_of``, and log long gaps."""
        gap_s = as_of - self.confirmed_at
        if LONG_GAP_S < gap_s < float("inf"):
            self.counters["long_gaps"] += 1
            log.info(
                "store_knowledge_gap",
                gap_s=round(gap_s, 2),
                source=source,
                events=len(batch.events),
                took_s=round(boottime() - sent_at, 2),
                revision=batch.revision,
            )
        self.confirmed_at = max(self.confirmed_at, as_of)

    def _set_contact(self, in_contact: bool, reason: str) -> None:
        if in_contact == self.in_contact:
            return
        self.in_contact = in_contact
        event = "store_contact_regained" if in_contact else "store_contact_lost"
        log.info(event, revision=self.revision, reason=reason)
        self.on_contact(in_contact)

    def _replace(self, batch: Batch) -> None:
        """Apply a complete listing and remove the keys that it lacks."""
        now = boottime()
        self._log_rise(batch)
        present = {event.key for event in batch.events}
        for key in self.missing:
            self.missing[key] = now
        for key, item in list(self.items.items()):
            # Keep this node's own writes that are newer than the listing.
            if key not in present and item.revision <= batch.revision:
                self._apply(Deletion(key, batch.revision), now)
        self.complete_since = batch.revision
        self._apply_batch(batch)

    def _log_rise(self, batch: Batch) -> None:
        """Log what is read anew, and what is gone, since the era of the store rose."""
        former, era = era_of(self.revision), era_of(batch.revision)
        if era <= former or not self.store.eras.has_risen:
            # The first listing, or the second one since the first era became known.
            return
        self.counters["era_listings"] += 1
        present = {event.key for event in batch.events}
        log.warning(
            "store_era_rose",
            former=former,
            era=era,
            former_revision=revision_in(self.revision),
            revision=revision_in(batch.revision),
            unconfirmed=len(self.items),
            gone=sum(key not in present for key in self.items),
        )

    def _apply_batch(self, batch: Batch) -> None:
        now = boottime()
        for event in batch.events:
            self._apply(event, now)
        if batch.revision > self.revision:
            self.revision = batch.revision
            self.note_change()

    def _apply(self, event: Item | Deletion, now: float) -> None:
        if era_of(event.revision) < era_of(self.complete_since):
            return
        held = self.items.get(event.key)
        if held is not None and event.revision <= held.revision:
            return
        if held is None and event.revision < self.deleted.get(event.key, 0):
            return
        match event:
            case Item():
                self.items[event.key] = event
                self.missing.pop(event.key, None)
                self.deleted.pop(event.key, None)
            case Deletion():
                self.items.pop(event.key, None)
                self.missing[event.key] = now
                self._record_deletion(event)
        self.note_change()
        self.changes.on_next(event)

    def _record_deletion(self, event: Deletion) -> None:
        self.deleted.pop(event.key, None)
        self.deleted[event.key] = event.revision
        if len(self.deleted) > MAX_DELETIONS:
            oldest = next(iter(self.deleted))
            self.complete_since = max(self.complete_since, self.deleted.pop(oldest))

    def note_change(self) -> None:
        """Wake all tasks in ``wait_for_change``."""
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
