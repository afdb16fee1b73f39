"""Real processes whose workers crash and start again, or whose ports are closed."""

import asyncio
import random
import signal
import time
from contextlib import AsyncExitStack

import pytest

from sesamepost.internal.forwarding.endpoint_watch import HEARTBEAT_TIMEOUT_S
from tests.platform.fleet import Fleet
from tests.platform.worker_standin import GrantFault, WorkerStandin
from tests.soak.faults import Target
from tests.soak.lives import send_late_heartbeat
from tests.soak.soak import SoakFleet

# Workers send their first heartbeat up to one interval after they listen.
HEARTBEAT_INTERVAL_S = 1.5
DOWN_S = 0.05
# Time from the start of the next life until the late heartbeat of the former one.
LATE_S = 0.1
# Nodes renew the grants of a range every two seconds.
RENEWAL_INTERVAL_S = 2.0
WATCH_S = 2.0
POLL_INTERVAL_S = 0.005
# A grant that is kept back for longer than a test.
NEVER_S = 60.0
CRASHING = 0
OTHER = 2

# A life under the id of the former one counts as another worker.
KEEPS_ID = pytest.mark.parametrize("keeps_id", [False, True], ids=["new-id", "same-id"])


class LivesFleet(SoakFleet):
    """Nodes behind proxies, beside workers with a long interval of heartbeats."""

    heartbeat_interval_s = HEARTBEAT_INTERVAL_S


async def enter_fleet(stack: AsyncExitStack, path, nodes: int) -> LivesFleet:
    """Start a fleet until the stack is closed."""
    fleet = LivesFleet(path, nodes)
    fleet.target, fleet.proxy_stack = Target(fleet, random.Random(1)), stack
    return await stack.enter_async_context(fleet)


@pytest.fixture
async def fleet(tmp_path):
    """Two nodes; the worker of the first one has all keys."""
    async with AsyncExitStack() as stack:
        fleet = await enter_fleet(stack, tmp_path, 2)
        yield fleet


@pytest.fixture
async def shared_fleet(tmp_path):
    """Three nodes; the workers of the first and the last one share the keys."""
    async with AsyncExitStack() as stack:
        fleet = await enter_fleet(stack, tmp_path, 3)
        yield fleet


async def start_next_life(fleet: Fleet, former: WorkerStandin, keeps_id: bool) -> None:
    """Start a worker whose first heartbeat follows after a whole interval."""
    worker_id = former.id if keeps_id else ""
    await fleet.start_worker(CRASHING, worker_id, HEARTBEAT_INTERVAL_S)


async def wait_for_change(read) -> None:
    """Wait until a value that a worker changes has another value."""
    before = read()
    async with asyncio.timeout(10):
        while read() == before:  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL_S)


async def wait_for_heartbeat(worker: WorkerStandin) -> None:
    """Wait until a worker has sent a heartbeat and its node has processed it."""
    await wait_for_change(lambda: worker.sequence)
    await asyncio.sleep(0.02)


async def wait_for_grant(worker: WorkerStandin) -> None:
    """Wait until a worker has accepted a grant."""
    await wait_for_change(lambda: len(worker.holds))


async def check_holds(fleet: Fleet) -> None:
    """Wait until all keys are served, and check the holds and fences of all lives."""
    await fleet.wait_until_served()
    assert fleet.record.problems == []


async def send_requests(fleet: Fleet, seconds: float) -> None:
    """Send requests for all probed keys, one after the other."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for key in fleet.record.probed_keys:
            await fleet.is_served(1, key)


@KEEPS_ID
async def test_a_heartbeat_of_the_former_life_gives_the_next_one_no_old_fence(
    fleet, keeps_id
):
    # Guards against a late heartbeat of a life that has ended, which is taken for the
    # proof that the process at the address is that life.
    former = await fleet.crash_worker(CRASHING)
    await asyncio.sleep(1.0)
    await start_next_life(fleet, former, keeps_id)
    await send_late_heartbeat(former, LATE_S)
    await send_requests(fleet, WATCH_S)
    await check_holds(fleet)


@KEEPS_ID
async def test_a_life_that_starts_just_after_a_heartbeat_gets_no_old_fence(
    fleet, keeps_id
):
    # Guards against a worker that crashes right after a heartbeat and listens again
    # within 0.25 s, while its node takes that heartbeat for recent.
    await wait_for_heartbeat(fleet.workers[CRASHING])
    former = await fleet.crash_worker(CRASHING)
    await asyncio.sleep(DOWN_S)
    await start_next_life(fleet, former, keeps_id)
    await send_requests(fleet, WATCH_S)
    await check_holds(fleet)


@KEEPS_ID
async def test_silent_connections_that_stay_open_give_the_next_life_no_old_fence(
    fleet, keeps_id
):
    # Guards against an idle connection that is taken for the proof that a life still
    # runs, although it has gone silent and does not close with the process.
    await wait_for_grant(fleet.workers[CRASHING])
    fleet.target.worker_proxies[CRASHING].outlive_target()
    # The next renewal is lost on a silent connection and is retried on a new one.
    await asyncio.sleep(RENEWAL_INTERVAL_S + 0.2)
    former = await fleet.crash_worker(CRASHING)
    await start_next_life(fleet, former, keeps_id)
    await asyncio.sleep(WATCH_S)
    await check_holds(fleet)


@KEEPS_ID
async def test_a_heartbeat_that_is_queued_at_a_paused_node_gives_no_old_fence(
    fleet, keeps_id
):
    # Guards against a node that resumes, reads a heartbeat that has waited since before
    # the crash of its sender, and takes it for recent.
    process = fleet.processes[CRASHING]
    await wait_for_grant(fleet.workers[CRASHING])
    process.send_signal(signal.SIGSTOP)
    former = await fleet.crash_worker(CRASHING)
    late = asyncio.ensure_future(send_late_heartbeat(former, 0.0))
    await asyncio.sleep(RENEWAL_INTERVAL_S + 0.5)
    await start_next_life(fleet, former, keeps_id)
    process.send_signal(signal.SIGCONT)
    await late
    await send_requests(fleet, WATCH_S)
    await check_holds(fleet)


@KEEPS_ID
async def test_a_node_that_starts_beside_a_new_life_does_not_grant_the_old_fence(
    fleet, keeps_id
):
    # Guards against a new process of a node whose first heartbeat is a late one of a
    # life that ended while no process ran.
    await fleet.kill(CRASHING)
    former = await fleet.crash_worker(CRASHING)
    await fleet.start(CRASHING)
    async with asyncio.timeout(10):
        while not await fleet.is_ready(CRASHING):  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL_S)
    await start_next_life(fleet, former, keeps_id)
    await send_late_heartbeat(former, LATE_S)
    await asyncio.sleep(WATCH_S)
    await check_holds(fleet)


async def test_a_late_grant_of_a_killed_process_takes_no_keys_back(shared_fleet):
    # Guards against a grant of a killed process that the worker carries out after the
    # next process has moved its keys: the worker has seen no higher fence than that of
    # the late grant, and another worker has the keys already.
    worker = shared_fleet.workers[CRASHING]
    worker.grant_fault = GrantFault.CARRIED_OUT_LATE
    worker.grant_delay_s = NEVER_S
    await wait_for_change(lambda: len(worker.late_grants))
    worker.grant_fault = GrantFault.NONE
    await shared_fleet.kill(CRASHING)
    body, until = worker.late_grants[0]
    await shared_fleet.start(CRASHING)
    await wait_for_grant(worker)
    worker.state = "draining"
    other = shared_fleet.workers[OTHER]
    async with asyncio.timeout(10):
        while not other.holds_key(body["from"]):  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL_S)
    worker.carry_out_grant(body, until)
    await check_holds(shared_fleet)


async def test_a_worker_that_refuses_connections_and_is_silent_keeps_its_holds(
    shared_fleet,
):
    # Guards against two holders: a refused connection is taken for the proof that the
    # worker has ended, although it lives, its heartbeats are late and its open
    # connections go on.
    await wait_for_heartbeat(shared_fleet.workers[CRASHING])
    shared_fleet.target.worker_proxies[CRASHING].refuse()
    shared_fleet.workers[CRASHING].heartbeat_task.cancel()
    await asyncio.sleep(HEARTBEAT_TIMEOUT_S + WATCH_S)
    await check_holds(shared_fleet)


async def test_a_worker_that_resets_and_refuses_connections_keeps_its_holds(
    shared_fleet,
):
    # Guards against two holders: a request fails and the next connection is refused,
    # which is taken for the proof that the worker has ended, although its heartbeats
    # arrive.
    proxy = shared_fleet.target.worker_proxies[CRASHING]
    await wait_for_grant(shared_fleet.workers[CRASHING])
    proxy.refuse()
    proxy.reset_all()
    await send_requests(shared_fleet, WATCH_S)
    await proxy.listen()
    await check_holds(shared_fleet)


async def test_a_refusing_worker_whose_heartbeat_is_lost_keeps_its_holds(shared_fleet):
    # Guards against two holders: as above, and one of the worker's heartbeats is lost.
    worker = shared_fleet.workers[CRASHING]
    proxy = shared_fleet.target.worker_proxies[CRASHING]
    # A heartbeat is lost soon after a grant, while most of its hold is left.
    worker.heartbeat_interval_s = HEARTBEAT_INTERVAL_S / 10
    await wait_for_grant(worker)
    worker.heartbeat_interval_s = 2 * HEARTBEAT_INTERVAL_S
    await wait_for_heartbeat(worker)
    proxy.refuse()
    proxy.reset_all()
    await send_requests(shared_fleet, 2 * HEARTBEAT_INTERVAL_S)
    await proxy.listen()
    await check_holds(shared_fleet)


async def test_a_node_that_stops_does_not_report_a_refusing_worker_as_ended(
    shared_fleet,
):
    # Guards against two holders: a node that stops probes its worker's port, finds it
    # closed and tells the others that the worker has ended.
    shared_fleet.target.worker_proxies[CRASHING].refuse()
    shared_fleet.terminate(CRASHING)
    await asyncio.sleep(WATCH_S)
    await check_holds(shared_fleet)
