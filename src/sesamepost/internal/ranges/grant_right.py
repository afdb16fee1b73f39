"""The right of a node to grant ranges to its endpoint."""

import asyncio
from collections.abc import Sequence
from contextlib import suppress

import structlog

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.era_record import open_revision
from sesamepost.internal.coordination.nodes import Registration
from sesamepost.internal.coordination.store import StoreError
from sesamepost.internal.ranges.hold_times import HOLD_S
from sesamepost.internal.ranges.table import KeyRange
from sesamepost.internal.ranges.table_store import TableStore

READ_RETRY_S = 0.1

log = structlog.get_logger()


class GrantRight:
    """Decides from which state of the table a node may grant, and until when.

    Other nodes take ranges of this one only while its entry is missing. A table from
    before the entry was written under the present lease may therefore name this node as
    the owner of ranges that others hold. Such a table is read anew before a grant. If
    the store came back from an older copy, the entry, the lease and the table must be
    of its present era.
    """

    def __init__(self, tables: TableStore, registration: Registration) -> None:
        self.tables = tables
        self.registration = registration
        self.reading: asyncio.Task | None = None

    async def close(self) -> None:
        """Stop reading the table."""
        if self.reading is not None:
            self.reading.cancel()
            with suppress(asyncio.CancelledError):
                await self.reading

    @property
    def until(self) -> float:
        """The time at which every hold must have ended."""
        return self.registration.renewed_at + HOLD_S

    def covers(self, key_range: KeyRange) -> bool:
        """Return whether the range is known from after the start of the lease.

        In a new era of the store, that is also after the last late write.
        """
        since = self._valid_since()
        return since is not None and self.tables.known_at(key_range.first) >= since

    def covers_all(self, ranges: Sequence[KeyRange]) -> bool:
        """Return whether all ranges are covered; read the table anew if not."""
        if all(self.covers(key_range) for key_range in ranges):
            return True
        if self._valid_since() is None:
            # Reading the table would not help.
            return False
        if self.reading is None or self.reading.done():
            self.reading = asyncio.ensure_future(self._read())
        return False

    def _valid_since(self) -> int | None:
        """Return the revision from which on a table is valid, or None if none is."""
        lease_revision = self.registration.lease_revision
        opened = open_revision(self.tables.mirror)
        if opened is None or not self.tables.eras.is_current(lease_revision):
            return None
        return max(lease_revision, opened)

    def revisions_of(self, key_range: KeyRange) -> dict[str, int | float]:
        """Return the state from which a range is granted, for the log."""
        renewed_at = self.registration.renewed_at
        return {
            "range_revision": self.tables.revision_of(key_range.first),
            "known_revision": self.tables.mirror.revision,
            "lease_revision": self.registration.lease_revision,
            "renewed_ago_s": round(boottime() - renewed_at, 2),
        }

    async def _read(self) -> None:
        log.info(
            "range_table_behind_lease",
            known_revision=self.tables.mirror.revision,
            lease_revision=self.registration.lease_revision,
        )
        try:
            await self.tables.read()
        except StoreError as error:
            log.info("range_table_unread", error=str(error))
            await asyncio.sleep(READ_RETRY_S)
