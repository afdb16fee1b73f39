"""Decides which ranges an endpoint may be granted after the store came back older.

The table of such a store may lack the last moves and takeovers, and may give a range to
an endpoint other than the one that holds it. A hold is proved in an era if the endpoint
certainly held the range by grants of this process after the era was opened: until the
rise, at most one endpoint held a key. Everything else waits until the era is settled,
which means that no hold from before the rise is left.

Fences hold the era in which they were given, so that they are above all fences of
former eras, whoever has seen those. A fence of a former era may have been given twice.
It is only used to renew a hold that is proved.
"""

from collections import Counter

import structlog

from sesamepost.internal.coordination.era_record import is_settled, open_revision
from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.ranges.holds import Hold, HoldTracker
from sesamepost.internal.ranges.table import KeyRange, Owner, RangeTable

# One era would last for years before it ran out of fences.
FENCE_BITS = 32

log = structlog.get_logger()


def fence_floor(era: int) -> int:
    """Return the number below all fences of an era and above those of former ones.

    >>> fence_floor(0), fence_floor(1) == 1 << 32
    (0, True)
    """
    return era << FENCE_BITS


def fence_era(fence: int) -> int:
    """Return the era in which a fence was given."""
    return fence >> FENCE_BITS


class EraGuard:
    """Reviews the holds of the local endpoint in the present era of the store.

    Without eras, every hold is proved.
    """

    def __init__(self, mirror: Mirror, counters: Counter[str]) -> None:
        self.mirror = mirror
        self.eras = mirror.store.eras
        self.counters = counters
        # The eras whose first review, and whose lost ranges, were dealt with.
        self.reviewed_era = self.eras.current
        self.claimed_era = self.eras.current

    @property
    def is_open(self) -> bool:
        """Whether no write of a former era can change the known table any more."""
        return open_revision(self.mirror) is not None

    @property
    def is_settled(self) -> bool:
        """Whether a new owner of a range may be granted it at once."""
        return self.is_open and is_settled(self.mirror)

    def review(self, holds: HoldTracker, now: float) -> None:
        """Mark the holds that may not be granted, or only with a higher fence."""
        if not self.eras.is_known or not self.is_open:
            return
        settled = is_settled(self.mirror)
        for hold in holds.holds.values():
            self._review(hold, settled, now)
        self._log_first_review(holds)

    def _review(self, hold: Hold, settled: bool, now: float) -> None:
        era = self.eras.newest
        if hold.proved_era == era:
            return
        hold.is_unproved = False
        if hold.is_certain(now) or (settled and fence_era(hold.key_range.fence) == era):
            hold.proved_era = era
            return
        hold.is_unproved = True
        # Earlier, the endpoint that holds the range may write it again.
        hold.is_refused |= settled

    def lost(
        self, holds: HoldTracker, table: RangeTable, owner: Owner | None, now: float
    ) -> list[KeyRange]:
        """Return ranges that the endpoint certainly holds and the older table lacks.

        The answer is the same until ``note_claimed``. The table may name another owner,
        or have an earlier fence of this one.
        """
        era = self.eras.current
        if era == self.claimed_era or owner is None:
            return []
        return [
            hold.key_range
            for hold in holds.holds.values()
            if hold.is_certain(now) and _is_lost(hold.key_range, table, owner, era)
        ]

    def note_claimed(self) -> None:
        """Record that the ranges which the older table lacks were written again."""
        self.claimed_era = self.eras.current

    def _log_first_review(self, holds: HoldTracker) -> None:
        if self.reviewed_era == self.eras.newest:
            return
        self.reviewed_era = self.eras.newest
        found = list(holds.holds.values())
        unproved = sum(hold.is_unproved for hold in found)
        self.counters["era_holds_unproved"] += unproved
        log.warning(
            "era_holds_reviewed",
            era=self.eras.newest,
            proved=len(found) - unproved,
            unproved=unproved,
        )


def may_claim(key_range: KeyRange, era: int) -> bool:
    """Return whether a range in the table was not written in the present era yet."""
    return fence_era(key_range.fence) < era


def _is_lost(held: KeyRange, table: RangeTable, owner: Owner, era: int) -> bool:
    """Return whether the table of an era has other facts for keys that are held."""
    return any(
        may_claim(r, era) and (r.owner != owner or r.fence != held.fence)
        for r in table.ranges
        if r.first <= held.last and held.first <= r.last
    )
