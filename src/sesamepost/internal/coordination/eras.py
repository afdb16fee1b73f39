"""Versions that stay ordered when the store comes back from an older copy.

Such a store gives revisions out again, and its answers state a higher era. A version is
one number made of the era and the revision, so versions compare as (era, revision). In
era 0, which is that of a store without eras, a version is the revision itself.

>>> versioned(1, 7) > versioned(0, 90), versioned(0, 90)
(True, 90)
>>> era_of(versioned(3, 7)), revision_in(versioned(3, 7))
(3, 7)
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import replace

import structlog

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.store import (
    ConditionFailedError,
    Deletion,
    EraChangedError,
    Item,
    LeaseEndedError,
    StoreSilentError,
    Transaction,
    Write,
)

# A version has to fit into the 63 bits of a message field.
REVISION_BITS = 52
MAX_REVISION = (1 << REVISION_BITS) - 1
MAX_ERA = (1 << (63 - REVISION_BITS)) - 1
# A node that lives misses few rises. A number far above is an error of the store, and
# all answers with the true era would be taken for old ones after it.
MAX_RISE = 16
UNKNOWN_ERA = -1
MAX_LOGGED_CHARACTERS = 40
# More digits are above every era, and a long number takes long to convert.
MAX_DIGITS = 9

log = structlog.get_logger()


def versioned(era: int, number: int) -> int:
    """Return the version of a revision, or the identity of a lease, of an era."""
    return era << REVISION_BITS | number


def era_of(version: int) -> int:
    """Return the era of a version."""
    return version >> REVISION_BITS


def revision_in(version: int) -> int:
    """Return the revision in a version."""
    return version & MAX_REVISION


class StoreEras:
    """The newest era that answers of the store have stated to this process.

    While no answer has stated one, nothing is checked or converted. What is sent must
    belong to the present era, and an answer must state the era of its call.
    ``listeners`` are called whenever a newer era is known.
    """

    def __init__(self) -> None:
        self.newest = UNKNOWN_ERA
        self.first_stated = UNKNOWN_ERA
        # Whether answers stated no era, which is that of a store that never came back.
        self.has_plain_answers = False
        # When this process first heard of the newest era.
        self.learned_at = float("-inf")
        self.listeners: list[Callable[[], None]] = []
        self.counters: Counter[str] = Counter()

    @property
    def is_known(self) -> bool:
        """Whether the store states eras at all."""
        return self.newest != UNKNOWN_ERA

    @property
    def current(self) -> int:
        """The newest era, or 0 if none is known."""
        return max(self.newest, 0)

    @property
    def has_risen(self) -> bool:
        """Whether the era rose since this process first knew one."""
        return self.counters["rises"] > 0

    def admit(self, stated: str | None) -> int:
        """Return the era of an answer of the store that states ``stated``.

        Raise ``StoreSilentError`` if the answer cannot be used: it states no era though
        others did, an older one, since it was under way during the rise, or an odd one.
        The first era has to be stated twice, since nothing tells whether it is odd. It
        is a rise, and counts at once, after answers that stated none.
        """
        if stated is None and not self.is_known:
            self.has_plain_answers = True
            return 0
        era = _parse(stated)
        if not self._is_plausible(era):
            self._note_odd(stated, era)
            return 0
        is_first = not self.is_known and not self.has_plain_answers
        if is_first and era != self.first_stated:
            self.first_stated = era
            return 0
        self.note(era)
        return era

    def _note_odd(self, stated: str | None, era: int) -> None:
        """Log an odd era; raise an error if there is a known one."""
        self.counters["odd_eras"] += 1
        text = str(stated)[:MAX_LOGGED_CHARACTERS]
        log.warning("store_era_odd", stated=text, known=self.newest)
        if 0 <= era < self.newest:
            raise EraChangedError(f"the answer is of era {era}")
        if self.is_known:
            raise StoreSilentError(f"the answer states the era {text}")

    def note(self, era: int) -> None:
        """Record an era that the store or a peer has stated, if it is newer."""
        if era <= self.newest or not self._is_plausible(era):
            return
        former, self.newest = self.newest, era
        self.learned_at = boottime()
        if former == UNKNOWN_ERA and not self.has_plain_answers:
            log.info("store_era", era=era)
        else:
            self.counters["rises"] += 1
        for listener in self.listeners:
            listener()

    def _is_plausible(self, era: int) -> bool:
        if not 0 <= era <= MAX_ERA:
            return False
        is_first = not self.is_known and not self.has_plain_answers
        return is_first or self.newest <= era <= self.current + MAX_RISE

    def is_current(self, version: int) -> bool:
        """Return whether a version or a lease belongs to the present era."""
        return not self.is_known or era_of(version) == self.newest

    def _is_sendable(self, version: int) -> bool:
        """Return whether a version or a lease may be sent to the store.

        One of a later era comes from a peer that has heard of a rise already.
        """
        if self.is_known:
            self.note(era_of(version))
        return self.is_current(version)

    def require_same(self, era: int, call_era: int) -> None:
        """Raise ``EraChangedError`` if the era rose during a call.

        The call may have met a revision or a lease that was given out again.
        """
        if era != call_era:
            raise EraChangedError(f"the era rose from {call_era} to {era}")

    def version(self, era: int, revision: int) -> int:
        """Return the version of a revision, or the identity of a lease, in an answer.

        Raise ``StoreSilentError`` if the number is too large for the store's eras.
        """
        if self.is_known and not 0 <= revision <= MAX_REVISION:
            raise StoreSilentError(f"the number {revision} is too large for an era")
        return versioned(era, revision) if self.is_known else revision

    def event(self, era: int, event: Item | Deletion) -> Item | Deletion:
        """Return an event of an answer with its version in place of its revision."""
        if not self.is_known:
            return event
        return replace(event, revision=self.version(era, event.revision))

    def number_in(self, version: int) -> int:
        """Return the number by which the store knows a version or a lease."""
        return revision_in(version) if self.is_known else version

    def require_lease(self, lease: int) -> int:
        """Return the store's number of a lease of the present era.

        Raise ``LeaseEndedError`` for another one: its number may be given out again.
        """
        if not self._is_sendable(lease):
            raise LeaseEndedError(f"a lease of era {era_of(lease)}")
        return self.number_in(lease)

    def to_send(self, transaction: Transaction) -> Transaction:
        """Return a transaction with revisions and leases as the store knows them.

        Raise ``ConditionFailedError`` or ``LeaseEndedError`` if one is of another era.
        """
        if not self.is_known:
            return transaction
        conditions = {}
        for key, version in transaction.conditions.items():
            if version and not self._is_sendable(version):
                raise ConditionFailedError(f"{key} is known from a former era")
            conditions[key] = revision_in(version)
        writes = tuple(
            Write(write.key, write.value, self.require_lease(write.lease))
            if write.lease
            else write
            for write in transaction.writes
        )
        return Transaction(conditions, writes, transaction.deletes)


def _parse(stated: str | None) -> int:
    """Return the number in a header, or ``UNKNOWN_ERA`` if it is not one."""
    if stated is None or not stated.isascii() or not stated.isdigit():
        return UNKNOWN_ERA
    return int(stated) if len(stated) <= MAX_DIGITS else MAX_ERA + 1
