"""Writes ranges of the local endpoint with higher fences."""

import asyncio
from collections.abc import Callable

from sesamepost.internal.ranges.era_guard import may_claim
from sesamepost.internal.ranges.local_owner import LocalOwner
from sesamepost.internal.ranges.table import KeyRange, RangeTable, reassign
from sesamepost.internal.ranges.table_store import TableStore
from sesamepost.internal.tasks import cancel_all

WRITE_RETRY_S = 0.25


class FenceWriter:
    """Gives ranges of this node's endpoint the fences that their next grants need.

    ``wake`` is set after each write.
    """

    def __init__(
        self, local: LocalOwner, tables: TableStore, wake: asyncio.Event
    ) -> None:
        self.local = local
        self.tables = tables
        self.wake = wake
        # The writes under way, by their kind.
        self.writes: dict[str, asyncio.Task] = {}

    async def close(self) -> None:
        """Cancel the writes."""
        await cancel_all(self.writes.values())

    def adopt(self, ranges: list[KeyRange]) -> None:
        """Reassign ranges of an earlier incarnation on this VM to the current one."""
        if not ranges or "adopt" in self.writes:
            return
        owner = self.local.owner

        def transform(table: RangeTable | None) -> RangeTable | None:
            changed = None
            for r in table.owned_by(self.local.vm):
                if r.owner != owner:
                    changed = reassign(changed or table, r.first, r.last, owner)
            return changed

        self._start("adopt", "new life of the endpoint", transform)

    def raise_refused(self) -> None:
        """Raise the fences of ranges that may not be granted under their present ones.

        Their handover tokens stay.
        """
        refused = self.local.holds.refused()
        if not refused or "fence" in self.writes:
            return
        owner = self.local.owner

        def transform(table: RangeTable | None) -> RangeTable | None:
            changed = None
            for old in refused:
                r = table.find(old.first)
                if r.owner == owner and r.fence == old.fence:
                    changed = reassign(
                        changed or table, r.first, r.last, owner, r.handover
                    )
            return changed

        self._start("fence", "a higher fence is needed", transform)

    @property
    def is_claiming(self) -> bool:
        """Whether ranges that the endpoint holds are being written again."""
        return "claim" in self.writes

    def claim(self, held: list[KeyRange], era: int) -> None:
        """Write ranges again that the store has lost with its last era.

        Those that were written in the present ``era`` belong to their new owners.
        """
        if not held or self.is_claiming:
            return
        owner = self.local.owner

        def transform(table: RangeTable | None) -> RangeTable | None:
            changed = None
            for r in table.ranges if table else ():
                if not may_claim(r, era):
                    continue
                for lost in held:
                    first, last = max(r.first, lost.first), min(r.last, lost.last)
                    if first <= last:
                        changed = reassign(changed or table, first, last, owner)
            return changed

        self._start("claim", "held since before the store came back", transform)

    def _start(
        self,
        key: str,
        reason: str,
        transform: Callable[[RangeTable | None], RangeTable | None],
    ) -> None:
        async def write() -> None:
            try:
                if not await self.tables.change(reason, transform):
                    # The range may come from an update that the mirror lacks.
                    await asyncio.sleep(WRITE_RETRY_S)
            finally:
                self.writes.pop(key, None)
                self.wake.set()

        self.writes[key] = asyncio.ensure_future(write())
