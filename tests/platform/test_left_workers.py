"""Workers that have left are not used again after a restart of their node."""

import asyncio

import pytest
from aiohttp import web

from tests.platform.fleet import READY_TIMEOUT_S, Fleet
from tests.platform.worker_standin import WorkerStandin

LEAVING = 1
# The time after the leave message at which the node is killed, and that until it
# starts again.
KILL_S = 0.5
DOWN_S = 0.3
WATCH_S = 1.5


class LeavingWorker(WorkerStandin):
    """A worker whose health shows that it has left, and which goes on serving."""

    has_left = False

    async def _health(self, request: web.Request) -> web.Response:
        if self.has_left:
            return web.Response(status=503, headers={"Instance-Id": self.id})
        return await super()._health(request)

    def requests(self) -> int:
        """Return how many requests this worker has run."""
        return sum(self.id in runs for runs in self.record.runs.values())


class LeavingFleet(Fleet):
    """Four nodes; those with an odd index have a worker of the service without keys."""

    worker_type = LeavingWorker


@pytest.fixture
async def fleet(tmp_path):
    async with LeavingFleet(tmp_path) as fleet:
        yield fleet


async def leave(fleet: Fleet) -> tuple[LeavingWorker, dict]:
    """Let a worker leave; return it and a heartbeat that it sent before that."""
    worker = fleet.workers[LEAVING]
    worker.heartbeat_task.cancel()
    _, late_heartbeat = worker.next_heartbeat()
    worker.has_left = True
    url = f"http://{fleet.ip(LEAVING)}:{fleet.ports['control']}"
    async with fleet.session.post(
        f"{url}/Instances.Leave/{worker.id}", json={"born": worker.born}
    ) as answer:
        assert answer.status == 200
    return worker, late_heartbeat


async def send_heartbeat(fleet: Fleet, worker: WorkerStandin, body: dict) -> None:
    """Send a heartbeat of a worker to its node."""
    url = f"http://{fleet.ip(LEAVING)}:{fleet.ports['control']}"
    async with fleet.session.post(
        f"{url}/Instances.Heartbeat/{worker.id}", json=body
    ) as answer:
        assert answer.status == 200


async def wait_until_ready(fleet: Fleet) -> None:
    """Wait until the restarted node is ready."""
    await fleet.wait_until(lambda: fleet.is_ready(LEAVING), READY_TIMEOUT_S)


async def send_orders(fleet: Fleet, duration_s: float) -> None:
    """Send requests of the service without keys through the other nodes."""
    loop = asyncio.get_running_loop()
    end = loop.time() + duration_s
    while loop.time() < end:
        for via in (0, 2, 3):
            await fleet.send_request(via, "/p/x", body="order")


async def test_a_worker_that_left_is_not_used_after_a_restart_of_its_node(fleet):
    # Guards against DRAIN: a heartbeat from before the leave message arrives at the
    # next process of the node, which knew nothing of the leave.
    worker, late_heartbeat = await leave(fleet)
    await asyncio.sleep(KILL_S)
    await fleet.kill(LEAVING)
    await asyncio.sleep(DOWN_S)
    await fleet.start(LEAVING)
    await wait_until_ready(fleet)
    await send_heartbeat(fleet, worker, late_heartbeat)
    before = worker.requests()
    await send_orders(fleet, WATCH_S)
    assert worker.requests() == before


async def test_a_worker_that_left_is_not_used_after_its_nodes_entry_has_expired(fleet):
    # Guards against DRAIN: as above, if the node is down for longer than its lease.
    worker, late_heartbeat = await leave(fleet)
    await fleet.kill(LEAVING)
    entry = fleet.store.items[f"sesamepost/nodes/{fleet.ip(LEAVING)}"]
    await fleet.store._end_lease(entry["lease"])
    await fleet.start(LEAVING)
    await wait_until_ready(fleet)
    await send_heartbeat(fleet, worker, late_heartbeat)
    before = worker.requests()
    await send_orders(fleet, WATCH_S)
    assert worker.requests() == before


async def test_a_leave_is_confirmed_only_once_other_nodes_can_know_of_it(fleet):
    # Guards against DRAIN: a node that is killed right after it confirmed a leave takes
    # the only knowledge of it along.
    worker, late_heartbeat = await leave(fleet)
    await fleet.kill(LEAVING)
    await fleet.start(LEAVING)
    await wait_until_ready(fleet)
    await send_heartbeat(fleet, worker, late_heartbeat)
    await asyncio.sleep(KILL_S)
    before = worker.requests()
    await send_orders(fleet, WATCH_S)
    assert worker.requests() == before


async def test_a_worker_that_comes_after_one_that_left_is_used(fleet):
    # Guards against a leave that outlives the worker that sent it, whose successor has
    # the same id.
    worker, _ = await leave(fleet)
    await fleet.kill(LEAVING)
    await fleet.crash_worker(LEAVING)
    await fleet.start(LEAVING)
    await wait_until_ready(fleet)
    await fleet.start_worker(LEAVING, worker.id)
    await asyncio.sleep(KILL_S)
    before = worker.requests()
    await send_orders(fleet, WATCH_S)
    assert worker.requests() > before
