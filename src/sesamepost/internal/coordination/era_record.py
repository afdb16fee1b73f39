"""The record of the store's present era, on which writes of ranges depend.

A write that is carried out late could meet a revision that was given out again. So each
era has a key of its own, which exists only in that era. It is created by the first node
that has listed the store, and every write of ranges requires it. A second key tells
that all rights to grant from former eras have ended.
"""

import random

import structlog

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.coordination.nodes import NodeTable
from sesamepost.internal.coordination.store import (
    ConditionFailedError,
    Item,
    StoreError,
    StoreRejectedError,
    Transaction,
    Write,
)
from sesamepost.internal.tasks import PeriodicTask

ERA_PREFIX = "sesamepost/eras/"
SETTLED_SUFFIX = "/settled"
OPENING_INTERVAL_S = 0.1
CHECK_INTERVAL_S = 0.5
# Nodes write one after the other, so that usually only the first one does.
TURN_DELAY_S = 0.3
# Of nodes that are not in the store yet, so that not all of a new fleet write at once.
MAX_FIRST_DELAY_S = 1.0
# Keys of former eras that one transaction removes; each era has two.
MAX_REMOVED_KEYS = 24
# A right to grant lasts this long after a renewal, with the slack of a takeover. The
# last renewal of a former era was answered before this process learned of the new one.
SETTLE_S = 5.4

log = structlog.get_logger()


def era_key(era: int) -> str:
    """Return the key that exists in an era once it is open."""
    return f"{ERA_PREFIX}{era}"


def settled_key(era: int) -> str:
    """Return the key that exists once no right of a former era is left."""
    return era_key(era) + SETTLED_SUFFIX


def open_revision(mirror: Mirror) -> int | None:
    """Return the revision at which the present era was opened, as far as is known.

    It is None if it is not known to be open, and 0 if the store states no eras.
    """
    eras = mirror.store.eras
    if not eras.is_known:
        return 0
    item = mirror.get(era_key(eras.newest))
    if item is None or not mirror.is_current or not eras.is_current(item.revision):
        return None
    return item.revision


def era_conditions(mirror: Mirror) -> dict[str, int]:
    """Return what a write requires so that it takes effect in this era only.

    Raise ``StoreRejectedError`` while the era is not open.
    """
    eras = mirror.store.eras
    revision = open_revision(mirror)
    if revision is None:
        raise StoreRejectedError(f"era {eras.newest} of the store is not open yet")
    return {era_key(eras.newest): revision} if eras.is_known else {}


def is_settled(mirror: Mirror) -> bool:
    """Return whether all rights to grant from former eras have ended.

    No era precedes era 0.
    """
    eras = mirror.store.eras
    if eras.newest <= 0:
        return True
    if boottime() >= eras.learned_at + SETTLE_S:
        return True
    item = mirror.get(settled_key(eras.newest))
    return item is not None and eras.is_current(item.revision)


class EraRecorder(PeriodicTask):
    """Opens the present era in the store, and records later that it is settled.

    Does nothing while the store states no eras.
    """

    def __init__(self, vm: str, nodes: NodeTable, mirror: Mirror) -> None:
        self.vm = vm
        self.nodes = nodes
        self.mirror = mirror
        self.due_at: float | None = None

    @property
    def interval_s(self) -> float:
        """The time between two checks; ranges wait while the era is not open."""
        if open_revision(self.mirror) is None:
            return OPENING_INTERVAL_S
        return CHECK_INTERVAL_S

    async def step(self) -> None:
        """Write what is due if it is this node's turn."""
        transaction = self._due_write()
        if transaction is None:
            self.due_at = None
            return
        now = boottime()
        if self.due_at is None:
            self.due_at = now + self._turn_delay_s()
        if now < self.due_at:
            return
        self.due_at = None
        try:
            revision = await self.mirror.store.commit(transaction)
        except ConditionFailedError as error:
            for item in error.items:
                self.mirror.offer(item)
            return
        except StoreError as error:
            log.info("era_not_recorded", error=str(error))
            return
        for write in transaction.writes:
            self.mirror.offer(Item(write.key, write.value, revision))
            log.info("era_recorded", key=write.key, revision=revision)

    def _due_write(self) -> Transaction | None:
        mirror, eras = self.mirror, self.mirror.store.eras
        if not eras.is_known or not mirror.is_current or not mirror.has_listed:
            return None
        opened = mirror.get(era_key(eras.newest))
        if opened is None:
            return self._opening(eras.newest)
        key = settled_key(eras.newest)
        if eras.newest == 0 or mirror.get(key) is not None or not is_settled(mirror):
            return None
        conditions = {era_key(eras.newest): opened.revision, key: 0}
        return Transaction(conditions, (Write(key, b""),))

    def _opening(self, era: int) -> Transaction:
        """Return the write that opens an era and closes all others."""
        former = sorted(key for key in self.mirror.items if key.startswith(ERA_PREFIX))
        return Transaction(
            {era_key(era): 0},
            (Write(era_key(era), b""),),
            tuple(former[:MAX_REMOVED_KEYS]),
        )

    def _turn_delay_s(self) -> float:
        """Return how long this node leaves the write to others."""
        names = sorted(self.nodes.nodes)
        if self.vm in names:
            return names.index(self.vm) * TURN_DELAY_S
        return random.uniform(0.0, MAX_FIRST_DELAY_S)
