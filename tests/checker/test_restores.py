"""Keys stay served while the store comes back from an older copy."""

import asyncio
import random

import pytest

from sesamepost.internal.ranges.era_guard import fence_era
from sesamepost.internal.ranges.table import KEYS
from tests.checker.disturbing import FIRST_ERA, Disturber
from tests.checker.events import (
    Event,
    KeysMoved,
    NodeKilled,
    StoreRestored,
    WorkerKilled,
)
from tests.checker.fleet import Fleet
from tests.checker.loop import virtual_loop
from tests.checker.trace import no_logs

PROBE_INTERVAL_S = 0.05
PROBED_KEYS = range(0, KEYS, 1024)
# An endpoint that takes its keys by heartbeats has new ones within one interval.
MAX_UNSERVED_S = 1.5
END_AFTER_S = 12.0

CALM = (StoreRestored(13.0, 3.0, 0.3),)
TWICE = (*CALM, StoreRestored(14.2, 2.0, 0.3))
LOST_MOVE = (KeysMoved(11.5, 1, 0, 0.2, 0.8), *CALM)
LOST_TAKEOVER = (
    WorkerKilled(10.2, 1, None, False, 0.0, 0.0),
    NodeKilled(10.2, 1, 90.0, 0.0),
    StoreRestored(24.0, 13.5, 0.3),
)


def run(events: tuple[Event, ...], by_heartbeat: bool) -> tuple[float, Fleet]:
    """Return the longest time for which a key was not held, and the fleet."""
    random.seed("restores")
    unserved_s = dict.fromkeys(PROBED_KEYS, 0.0)
    with no_logs(), virtual_loop() as loop:
        fleet = Fleet(loop, "restores", 3, by_heartbeat)
        disturber = Disturber(fleet)
        fleet.start()
        for event in events:
            disturber.schedule(event)

        async def probe() -> None:
            await asyncio.sleep(events[-1].at - 0.5)
            while loop.now < events[-1].at + END_AFTER_S:
                await asyncio.sleep(PROBE_INTERVAL_S)
                machines = [m for m in fleet.machines if m.worker and m.worker.is_up]
                for key in PROBED_KEYS:
                    if not any(m.worker.worker.holds(key) for m in machines):
                        unserved_s[key] += PROBE_INTERVAL_S

        loop.run_until_complete(probe())
    return max(unserved_s.values()), fleet


@pytest.mark.parametrize("by_heartbeat", [False, True])
@pytest.mark.parametrize(
    ("events", "writes_again"),
    [(CALM, False), (TWICE, False), (LOST_MOVE, True), (LOST_TAKEOVER, True)],
    ids=["calm", "twice", "lost-move", "lost-takeover"],
)
def test_holders_go_on(events, writes_again, by_heartbeat):
    # Guards against 5.4 s without keys after each return, for all that did not change,
    # and for what only the lost copy knew while its holder lives.
    unserved_s, fleet = run(events, by_heartbeat)
    assert fleet.observer.breaches == []
    assert unserved_s <= MAX_UNSERVED_S
    is_raised = fence_era(fleet.table().fence) > FIRST_ERA
    assert is_raised == writes_again
