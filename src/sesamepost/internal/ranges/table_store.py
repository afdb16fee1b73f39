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
from sesamepost.internal.ranges.table import TABLE_PREFIX, RangeTable, decode_table

WRITE_TRIES = 4
WRITE_RETRY_S = 0.1

log = structlog.get_logger()


class TableStore:
    """The range table of one service: the newest known one, and changes of it."""

    def __init__(self, store: CoordinationStore, mirror: Mirror, service: str) -> None:
        self.store = store
        self.mirror = mirror
        self.service = service
        self.key = TABLE_PREFIX + service
        self.revision = -1
        self.decoded: RangeTable | None = None

    @property
    def table(self) -> RangeTable | None:
        """The newest known table."""
        item = self.mirror.get(self.key)
        if item is None:
            return None
        if item.revision != self.revision:
            self.revision = item.revision
            try:
                self.decoded = decode_table(item.value)
            except ValueError as error:
                log.error("range_table_unreadable", key=self.key, error=str(error))
                self.decoded = None
        return self.decoded

    async def change(
        self,
        reason: str,
        decide: Callable[[RangeTable | None], RangeTable | None],
        conditions: dict[str, int] | None = None,
    ) -> bool:
        """Write what ``decide`` makes of the newest table, trying again on a race.

        ``decide`` returns None if nothing is to be changed any more.
        """
        for _ in range(WRITE_TRIES):
            revision = self.mirror.revision_of(self.key)
            table = decide(self.table)
            if table is None:
                return False
            data = table.encode()
            transaction = Transaction(
                {self.key: revision, **(conditions or {})}, (Write(self.key, data),)
            )
            try:
                written = await self.store.commit(transaction)
            except ConditionFailedError:
                await self._refresh()
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
            )
            return True
        return False

    def _conditions_changed(self, conditions: dict[str, int]) -> bool:
        return any(
            self.mirror.revision_of(key) != revision
            for key, revision in conditions.items()
        )

    async def _refresh(self) -> None:
        item, _ = await self.store.get(self.key)
        if item is not None:
            self.mirror.offer(item)
