"""Grants of a node that stands still between two lines of its code."""

from collections.abc import Callable

import pytest
from aiohttp import web

from sesamepost.internal.clock import boottime
from sesamepost.internal.ranges.holds import HOLD_S
from sesamepost.internal.ranges.keeper import RangeKeeper
from sesamepost.internal.ranges.table import LAST_KEY
from sesamepost.internal.wire.pool import Address
from sesamepost.platform.endpoint_commands import WorkerCommands
from tests.clocks import StoppableClock
from tests.coordination.memory_store import MemoryStore
from tests.platform.test_endpoint_commands import Worker
from tests.ranges.keepers import OWNERS, running_keepers
from tests.waiting import until

STOP_S = 2.0


class TimedWorker(Worker):
    """Records when the hold of each grant ends."""

    def __init__(self) -> None:
        super().__init__()
        self.hold_ends: list[float] = []

    async def _grant(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.hold_ends.append(boottime() + body["holdS"])
        return await super()._grant(request)


class RecordedCommands(WorkerCommands):
    """Commands to a worker; ``granted`` is what it has accepted."""

    def __init__(self, worker: Worker) -> None:
        super().__init__(Address("127.0.0.1", worker.port))
        self.granted = worker.grants
        self.before_post: Callable[[], None] = lambda: None

    async def _post(self, connection, path, body):
        self.before_post()
        return await super()._post(connection, path, body)


def renew(keeper: RangeKeeper) -> None:
    """Renew the lease of the node and let it renew all holds."""
    for hold in keeper.holds.holds.values():
        hold.certain_until = hold.retry_at = 0.0
    keeper.registration.renewed_at = boottime()
    keeper.wake.set()


@pytest.fixture
def clock(monkeypatch):
    return StoppableClock(monkeypatch)


@pytest.fixture
async def parts(clock):
    """Yield a worker and its keeper, which has granted all keys to it."""
    async with TimedWorker() as worker, RecordedCommands(worker) as commands:
        running = running_keepers(
            MemoryStore(), OWNERS[:1], endpoint_type=lambda: commands
        )
        async with running as (keeper,):
            await until(lambda: not keeper.grants.pending)
            worker.hold_ends.clear()
            yield worker, keeper


def stop_after_planning(keeper: RangeKeeper, clock: StoppableClock) -> None:
    """Stop the process once, right after it has determined the grants to send."""
    send_grants = keeper.grants.send_due

    def send_grants_and_stop() -> None:
        send_grants()
        if keeper.grants.pending and clock.stopped_s == 0:
            clock.stop(STOP_S)

    keeper.grants.send_due = send_grants_and_stop


async def test_a_grant_of_a_stopped_node_does_not_outlast_its_right(parts, clock):
    # Guards against OWNER: a node that stood still between the computation of a grant
    # and its sending let its worker hold keys after others could have taken them.
    worker, keeper = parts
    stop_after_planning(keeper, clock)
    renew(keeper)
    await until(lambda: worker.hold_ends)
    assert clock.stopped_s == STOP_S
    assert max(worker.hold_ends) <= keeper.registration.renewed_at + HOLD_S


async def test_a_node_does_not_take_a_hold_for_ended_that_it_granted_after_a_stop(
    parts, clock
):
    # Guards against OWNER: a move whose release is not answered waits for the end of
    # the hold, which was counted from before the node stood still.
    worker, keeper = parts
    stop_after_planning(keeper, clock)
    renew(keeper)
    await until(lambda: worker.hold_ends)
    assert clock.stopped_s == STOP_S
    assert keeper.holds.possible_until(0, LAST_KEY) >= max(worker.hold_ends)


async def test_a_node_that_stops_right_before_it_sends_a_grant_knows_when_it_ends(
    parts, clock
):
    # Guards against OWNER: as above, if the node stands still after the length of the
    # hold was computed. The hold outlasts the right then, but no move of the node.
    worker, keeper = parts

    def stop_once() -> None:
        if clock.stopped_s == 0:
            clock.stop(STOP_S)

    keeper.commands.before_post = stop_once
    renew(keeper)
    await until(lambda: worker.hold_ends and not keeper.grants.pending)
    assert clock.stopped_s == STOP_S
    assert keeper.holds.possible_until(0, LAST_KEY) >= max(worker.hold_ends)
    assert keeper.holds.unanswered_until(0, LAST_KEY) >= max(worker.hold_ends)
