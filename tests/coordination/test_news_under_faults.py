"""Settings reach the nodes in time under random faults, and never go back.

The seeds of CI are fixed. Set ``NEWS_SEEDS`` to a number of seeds for a longer run.
"""

import asyncio
import os
import random
from contextlib import suppress

import pytest

from sesamepost.internal.coordination.feed import MIN_GROUP_NODES
from tests.coordination.failure_domain import Member, fleet
from tests.coordination.memory_store import MemoryStore, put
from tests.coordination.switched_store import SwitchedStore
from tests.waiting import until

SETTINGS = "settings"
SIZES = (MIN_GROUP_NODES, MIN_GROUP_NODES, 3)
SEEDS = range(int(os.environ.get("NEWS_SEEDS", "12")))
# Operators allow 3 s.
BOUND_S = 2.0
# From the first fault to the first change.
MAX_LEAD_S = 2.5
CHANGES = 3
CHANGE_INTERVAL_S = 0.4


class History:
    """The versions of the settings that a member has had."""

    def __init__(self, member: Member) -> None:
        self.member = member
        self.versions: list[int] = []
        member.mirror.changes.subscribe(self._on_change)

    def _on_change(self, event) -> None:
        if event.key == SETTINGS:
            self.versions.append(int(event.value))

    @property
    def newest(self) -> int:
        return self.versions[-1] if self.versions else 0


async def kill(member: Member) -> None:
    """End a node as its process does: connections close, and nothing is sent."""
    for task in (member.mirror.task, member.gossip.task):
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
    member.pool.server.close()
    for stream in list(member.pool.open):
        stream.close("killed")


def freeze(member: Member) -> None:
    """Let a node answer nothing, while its connections stay open."""
    member.pool.handlers.clear()
    member.mirror.task.cancel()
    member.gossip.task.cancel()


def pick_victim(rng: random.Random, members: list[Member]) -> Member:
    """Return a reader, more often than any other member."""
    readers = [members[0], members[SIZES[0]]]
    return rng.choice(readers if rng.random() < 0.6 else members)


async def disturb(rng: random.Random, members: list[Member]) -> set[str]:
    """Disturb the fleet; return the VMs that are no longer in contact with others."""
    lost = set()
    kind = rng.choice(["kill", "freeze", "none"])
    victim = pick_victim(rng, members)
    if kind != "none":
        lost.add(victim.entry.vm)
    if kind == "kill":
        await kill(victim)
    if kind == "freeze":
        freeze(victim)
    await asyncio.sleep(rng.uniform(0, 0.5))
    domain = str(rng.randrange(len(SIZES)))
    third = rng.sample(members, len(members) // 3)
    silent = rng.choice(
        [third, [m for m in members if m.entry.failure_domain == domain], []]
    )
    for member in silent:
        member.store.silence()
    for member in rng.sample(members, rng.randrange(len(members))):
        member.store.lose_open_calls()
    await asyncio.sleep(rng.uniform(0, MAX_LEAD_S))
    if rng.random() < 0.4:
        for member in silent:
            member.store.restore()
    return lost


@pytest.mark.parametrize("seed", SEEDS)
async def test_settings_arrive_in_time_and_never_go_back(seed):
    # Guards against steps that add up in an order that no other test has: CONFIG came
    # back after each single step had been bounded.
    rng = random.Random(seed)
    store = MemoryStore()
    await put(store, SETTINGS, b"0")
    async with fleet(store, SIZES, lambda: SwitchedStore(store)) as members:
        await until(lambda: members[1].mirror.counters["follows"] > 0)
        histories = [History(member) for member in members]
        lost = await disturb(rng, members)
        watched = [h for h in histories if h.member.entry.vm not in lost]
        for version in range(1, CHANGES + 1):
            await put(store, SETTINGS, str(version).encode())
            await asyncio.sleep(CHANGE_INTERVAL_S)
        await asyncio.sleep(BOUND_S - CHANGE_INTERVAL_S)
        late = [h.member.entry.vm for h in watched if h.newest < CHANGES]
        assert not late
        for history in watched:
            assert history.versions == sorted(history.versions)
