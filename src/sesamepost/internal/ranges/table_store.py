"""Reads and changes the range table of one service in the store."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

import structlog

from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.coordination.store import (
    ConditionFailedError,
    CoordinationStore,
    Item,
    StoreError,
    Transaction,
    Write,
)
from sesamepost.internal.ranges.table import (
    TABLE_PREFIX,
    KeyRange,
    RangeTable,
    decode_table,
    with_range,
)

# Owners that move keys at the same time fail on each other's writes.
WRITE_TRIES = 10
WRITE_RETRY_S = 0.1
# The mirror catches up within a second, so few ranges are told before.
MAX_TOLD = 256

log = structlog.get_logger()


class TableStore:
    """The range table of one service: the newest known one, and changes of it.

    Other nodes tell early of ranges that were written later than the table in the
    mirror; ``table`` includes them until the mirror has caught up. ``revision`` is
    the newest revision that is known of.
    """

    def __init__(self, store: CoordinationStore, mirror: Mirror, service: str) -> None:
        self.store = store
        self.mirror = mirror
        self.service = service
        self.key = TABLE_PREFIX + service
        self.written_revision = -1
        self.written: RangeTable | None = None
        self.told: list[tuple[int, KeyRange]] = []
        self.merged: RangeTable | None = None
        self.on_told: Callable[[], None] = lambda: None

    @property
    def table(self) -> RangeTable | None:
        """The newest known table."""
        self._read()
        return self.merged

    @property
    def revision(self) -> int:
        """The revision of the newest known range."""
        return max([self.written_revision, *(revision for revision, _ in self.told)])

    def offer_range(self, revision: int, row: KeyRange) -> None:
        """Take a range that another node knows to be written at ``revision``."""
        self._read()
        if revision <= self.written_revision or self.written is None:
            return
        if (revision, row) in self.told or len(self.told) >= MAX_TOLD:
            return
        self.told.append((revision, row))
        self.told.sort(key=lambda told: told[0])
        self._merge()
        self.on_told()
        self.mirror.note_change()

    def _read(self) -> None:
        """Take a newer table from the mirror."""
        item = self.mirror.get(self.key)
        if item is None or item.revision == self.written_revision:
            return
        self.written_revision = item.revision
        try:
            self.written = decode_table(item.value)
        except ValueError as error:
            log.error("range_table_unreadable", key=self.key, error=str(error))
            self.written = None
        self.told = [told for told in self.told if told[0] > item.revision]
        self._merge()

    def _merge(self) -> None:
        self.merged = self.written
        for _, row in self.told:
            if self.merged is not None:
                self.merged = with_range(self.merged, row)

    async def change(
        self,
        reason: str,
        decide: Callable[[RangeTable | None], RangeTable | None],
        conditions: dict[str, int] | None = None,
    ) -> bool:
        """Write what ``decide`` makes of the newest table, trying again on a race.

        ``decide`` returns None if nothing is to be changed any more.
        """
        for tries in range(1, WRITE_TRIES + 1):
            revision = self.mirror.revision_of(self.key)
            self._read()
            table = decide(self.written)
            if table is None:
                return False
            data = table.encode()
            transaction = Transaction(
                {self.key: revision, **(conditions or {})}, (Write(self.key, data),)
            )
            try:
                written = await self.store.commit(transaction)
            except ConditionFailedError as error:
                await self._take_current(error)
                if conditions and self._conditions_changed(conditions):
                    return False
                continue
            except StoreError as error:
                log.info("range_table_write_failed", reason=reason, error=str(error))
                await asyncio.sleep(WRITE_RETRY_S)
                with suppress(StoreError):
                    await self._refresh()
                continue
            self.mirror.offer(Item(self.key, data, written))
            log.info(
                "range_table_written",
                service=self.service,
                reason=reason,
                based_on=revision,
                revision=written,
                fence=table.fence,
                ranges=len(table.ranges),
                bytes=len(data),
                tries=tries,
            )
            return True
        log.info("range_table_contended", reason=reason, tries=WRITE_TRIES)
        return False

    def _conditions_changed(self, conditions: dict[str, int]) -> bool:
        return any(
            self.mirror.revision_of(key) != revision
            for key, revision in conditions.items()
        )

    async def _take_current(self, error: ConditionFailedError) -> None:
        """Learn the table that was written meanwhile, if the store told it at once."""
        for item in error.items:
            self.mirror.offer(item)
        if not any(item.key == self.key for item in error.items):
            await self._refresh()

    async def _refresh(self) -> None:
        item, _ = await self.store.get(self.key)
        if item is not None:
            self.mirror.offer(item)
