"""Reads and updates the range table of one service in the store."""

import asyncio
from collections.abc import Callable, Collection
from dataclasses import replace

import structlog

from sesamepost.internal.coordination.era_record import era_conditions, open_revision
from sesamepost.internal.coordination.eras import era_of
from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.coordination.store import (
    ConditionFailedError,
    CoordinationStore,
    Deletion,
    Item,
    StoreError,
    StoreSilentError,
    Transaction,
    Write,
)
from sesamepost.internal.ranges.era_guard import fence_floor
from sesamepost.internal.ranges.table import (
    SECTIONS,
    TABLE_PREFIX,
    KeyRange,
    RangeTable,
    decode_section,
    join_sections,
    section_of,
    with_range,
)

# Owners that move keys at the same time conflict with each other's writes.
WRITE_TRIES = 10
WRITE_RETRY_S = 0.1
# The mirror catches up within a second, so few updates arrive before it does.
MAX_RANGE_UPDATES = 256

log = structlog.get_logger()


class TableChange:
    """A pending change of the table.

    ``is_done`` is None while the change is pending, True once it is written and False
    if it was abandoned.
    """

    __slots__ = ("conditions", "is_done", "reason", "transform")

    def __init__(
        self,
        reason: str,
        transform: Callable[[RangeTable | None], RangeTable | None],
        conditions: dict[str, int],
    ) -> None:
        self.reason = reason
        self.transform = transform
        self.conditions = conditions
        self.is_done: bool | None = None


class TableStore:
    """The newest known range table of one service, and writes to it.

    Other nodes announce ranges that were written after the table in the mirror;
    ``table`` includes these updates until the mirror has caught up. ``revision`` is
    the newest known revision.

    ``lease_key`` is the key that records the lease of this node. Each write requires it
    to be unchanged, so a write that the store carries out late has no effect once the
    node, or the next process on its VM, has another lease.
    """

    def __init__(
        self,
        store: CoordinationStore,
        mirror: Mirror,
        service: str,
        lease_key: str = "",
    ) -> None:
        self.store = store
        self.mirror = mirror
        self.eras = mirror.store.eras
        self.service = service
        self.lease_key = lease_key
        self.prefix = f"{TABLE_PREFIX}{service}/"
        self.keys = [f"{self.prefix}{index}" for index in range(SECTIONS)]
        self.revisions = [-1] * SECTIONS
        self.sections: list[RangeTable | None] = [None] * SECTIONS
        # Indexes of the sections whose newest values cannot be read. The last readable
        # ones stay in force.
        self.unreadable: set[int] = set()
        self.stored_table: RangeTable | None = None
        # Revision of the store as of the last call of ``read``.
        self.read_revision = 0
        self.range_updates: list[tuple[int, KeyRange]] = []
        self.merged_table: RangeTable | None = None
        # Whether the mirror has sections that have not been loaded yet.
        self.is_stale = True
        # Changes in the order of their requests; only one write runs at a time.
        self.pending: list[TableChange] = []
        self.write_lock = asyncio.Lock()
        # Revisions on which the last unanswered writes were based, by section key.
        self.unanswered: dict[str, int] = {}
        self.on_range_update: Callable[[], None] = lambda: None
        mirror.changes.subscribe(self._on_change)

    @property
    def exists(self) -> bool:
        """Whether the store is known to hold any section of the table."""
        return any(self.mirror.get(key) is not None for key in self.keys)

    @property
    def is_damaged(self) -> bool:
        """Whether a section that cannot be read should be written anew."""
        self._sync_from_mirror()
        return bool(self.unreadable) and self.stored_table is not None

    @property
    def table(self) -> RangeTable | None:
        """The newest known table, with the updates from other nodes."""
        self._sync_from_mirror()
        return self.merged_table

    @property
    def revision(self) -> int:
        """The newest revision of any known section or update."""
        self._sync_from_mirror()
        return max([*self.revisions, *(revision for revision, _ in self.range_updates)])

    def revision_of(self, key: int) -> int:
        """Return the revision of the newest known range with ``key``."""
        self._sync_from_mirror()
        update_revisions = [
            rev
            for rev, key_range in self.range_updates
            if key_range.first <= key <= key_range.last
        ]
        return max([self.revisions[section_of(key)], *update_revisions])

    @property
    def fence_floor(self) -> int:
        """The number that all fences of the store's present era exceed."""
        return fence_floor(self.eras.current)

    def has_unanswered_write(self, first: int, last: int) -> bool:
        """Return whether the store may still carry out a write of these sections."""
        self._sync_from_mirror()
        return any(
            self.unanswered.get(self.keys[index]) == self.revisions[index]
            for index in range(section_of(first), section_of(last) + 1)
        )

    def known_at(self, key: int) -> int:
        """Return the newest revision of the store at which the range is known."""
        return max(self.mirror.revision, self.read_revision, self.revision_of(key))

    async def read(self) -> None:
        """Read the table from the store, ahead of the watch."""
        batch = await self.store.list(self.prefix)
        for item in batch.events:
            self.mirror.offer(item)
        self.read_revision = max(self.read_revision, batch.revision)
        self.on_range_update()

    def is_section_key(self, store_key: str) -> bool:
        """Return whether a key of the store belongs to a section of this table."""
        return store_key.startswith(self.prefix)

    def offer_range(self, revision: int, key_range: KeyRange) -> None:
        """Apply a range that is stored at ``revision``, as another node reports.

        A range of another era than the store's present one is ignored.
        """
        if not self.eras.is_current(revision):
            return
        self._sync_from_mirror()
        if (
            self.stored_table is None
            or revision <= self.revisions[section_of(key_range.first)]
        ):
            return
        if (revision, key_range) in self.range_updates or len(
            self.range_updates
        ) >= MAX_RANGE_UPDATES:
            return
        self.range_updates.append((revision, key_range))
        self.range_updates.sort(key=lambda update: update[0])
        self._merge()
        self.on_range_update()
        self.mirror.note_change()

    def _on_change(self, event: Item | Deletion) -> None:
        if self.is_section_key(event.key):
            self.is_stale = True

    def _sync_from_mirror(self) -> None:
        """Load the sections that changed in the mirror."""
        if not self.is_stale:
            return
        self.is_stale = False
        for index, key in enumerate(self.keys):
            item = self.mirror.get(key)
            if item is not None and item.revision != self.revisions[index]:
                self._load_section(index, item)
            elif item is None and self._is_from_former_era(index):
                self._drop_section(index)
        is_complete = all(section is not None for section in self.sections)
        self.stored_table = join_sections(self.sections) if is_complete else None
        self._merge()

    def _is_from_former_era(self, index: int) -> bool:
        known = self.revisions[index]
        return known >= 0 and era_of(known) < era_of(self.mirror.revision)

    def _drop_section(self, index: int) -> None:
        """Forget a section that the store has lost with its last era."""
        self.revisions[index] = -1
        self.sections[index] = None
        self.unreadable.discard(index)
        self.range_updates = [
            update
            for update in self.range_updates
            if section_of(update[1].first) != index
        ]

    def _load_section(self, index: int, item: Item) -> None:
        self.revisions[index] = item.revision
        try:
            self.sections[index] = decode_section(item.value, index)
            self.unreadable.discard(index)
        except ValueError as error:
            log.error("range_table_unreadable", key=item.key, error=str(error))
            self.unreadable.add(index)
        self.range_updates = [
            (revision, key_range)
            for revision, key_range in self.range_updates
            if section_of(key_range.first) != index or revision > item.revision
        ]

    def _merge(self) -> None:
        self.merged_table = self.stored_table
        for _, key_range in self.range_updates:
            if self.merged_table is not None:
                self.merged_table = with_range(self.merged_table, key_range)

    async def change(
        self,
        reason: str,
        transform: Callable[[RangeTable | None], RangeTable | None],
        conditions: dict[str, int] | None = None,
    ) -> bool:
        """Write the result of ``transform`` on the newest table, retrying on conflicts.

        ``transform`` returns None if there is nothing left to change. Changes that wait
        for an earlier write share the next one, unless they have ``conditions``. Return
        whether the change was written.
        """
        change = TableChange(reason, transform, conditions or {})
        self.pending.append(change)
        try:
            async with self.write_lock:
                if change.is_done is None:
                    await self._write(change)
        finally:
            self.pending.remove(change)
        return bool(change.is_done)

    async def _write(self, first: TableChange) -> None:
        """Write a change together with the pending ones that may share its write."""
        if open_revision(self.mirror) is None:
            # The table is not confirmed since the store came back.
            first.is_done = False
            return
        for tries in range(1, WRITE_TRIES + 1):
            self._sync_from_mirror()
            table, applied = self._apply_batch(first)
            if not applied:
                return
            if await self._commit(table, applied, tries):
                return
            if first.conditions:
                # Whoever requires them looks at the facts again before another try.
                break
        else:
            log.info("range_table_contended", reason=first.reason, tries=WRITE_TRIES)
        first.is_done = False

    def _apply_batch(
        self, first: TableChange
    ) -> tuple[RangeTable | None, list[TableChange]]:
        """Return the table with the next write's changes applied, and these changes."""
        batch = [first]
        if not first.conditions:
            batch = [c for c in self.pending if c.is_done is None and not c.conditions]
        table = self.stored_table
        if table is not None:
            table = replace(table, fence=max(table.fence, self.fence_floor))
        applied = []
        for change in batch:
            changed = change.transform(table)
            if changed is None:
                change.is_done = False
                continue
            table = changed
            applied.append(change)
        return table, applied

    async def _commit(
        self, table: RangeTable, applied: list[TableChange], tries: int
    ) -> bool:
        """Try to write a table once; after a failure, load the newest sections."""
        changes = self._changed_sections(table)
        based_on = {key: self.mirror.revision_of(key) for key in changes}
        writes = tuple(Write(key, value) for key, value in changes.items())
        conditions = {
            **based_on,
            **applied[0].conditions,
            **era_conditions(self.mirror),
        }
        if self.lease_key:
            conditions[self.lease_key] = self.mirror.revision_of(self.lease_key)
        reasons = sorted({change.reason for change in applied})
        try:
            written = await self.store.commit(Transaction(conditions, writes))
        except ConditionFailedError as error:
            await self._sync_after_conflict(error, based_on)
            return False
        except StoreError as error:
            is_unanswered = isinstance(error, StoreSilentError)
            if is_unanswered:
                self.unanswered.update(based_on)
            log.info(
                "range_table_write_failed",
                reasons=reasons,
                based_on=list(based_on.values()),
                is_unanswered=is_unanswered,
                error=str(error),
            )
            await asyncio.sleep(WRITE_RETRY_S)
            await self._sync_from_store(based_on)
            return False
        for key, value in changes.items():
            self.mirror.offer(Item(key, value, written))
        for change in applied:
            change.is_done = True
        log.info(
            "range_table_written",
            service=self.service,
            reasons=reasons,
            changes=len(applied),
            based_on=list(based_on.values()),
            revision=written,
            fence=table.fence,
            ranges=len(table.ranges),
            bytes=sum(map(len, changes.values())),
            tries=tries,
        )
        return True

    def _changed_sections(self, table: RangeTable) -> dict[str, bytes]:
        """Return the encoded sections that differ from the store, by store key."""
        changes = {}
        for index, key in enumerate(self.keys):
            stored = self.sections[index]
            section = table.section(index)
            is_lacking = stored is None or index in self.unreadable
            if is_lacking or stored.ranges != section.ranges:
                changes[key] = section.encode()
        return changes

    async def _sync_after_conflict(
        self, error: ConditionFailedError, keys: Collection[str]
    ) -> None:
        """Load the sections of a conflict, from the error itself if it carries them."""
        for item in error.items:
            self.mirror.offer(item)
        if not any(item.key in keys for item in error.items):
            lease_keys = [self.lease_key] if self.lease_key else []
            await self._sync_from_store([*keys, *lease_keys])

    async def _sync_from_store(self, keys: Collection[str]) -> None:
        """Read sections from the store; the next write may conflict if that fails."""
        try:
            for key in keys:
                item, _ = await self.store.get(key)
                if item is not None:
                    self.mirror.offer(item)
        except StoreError as error:
            log.info("range_table_unread", keys=list(keys), error=str(error))
            await asyncio.sleep(WRITE_RETRY_S)
