"""Requests that arrive while a node stops, with real processes and sockets."""

import asyncio
import copy

import aiohttp
import pytest

from tests.platform.fleet import ROUTING, Fleet

# The platform kills a process this long after SIGTERM.
GRACE_S = 6.0
REQUEST_TIMEOUT_S = 6.0
# Four orders fill the slots of a worker, so a fifth one starts after 5 s of the grace.
WORK_S = 3.4
# Orders are sent around the moment at which the node stops accepting them.
FIRST_ORDER_S = 1.8
LAST_ORDER_S = 2.8
REQUEST_INTERVAL_S = 0.1


def with_timeout(timeout_s: float) -> dict:
    """Return routing settings whose routes have another timeout."""
    routing = copy.deepcopy(ROUTING)
    for path in routing["virtualHosts"][0]["paths"]:
        path["timeoutS"] = timeout_s
    return routing


class SlowFleet(Fleet):
    """A fleet whose requests may last for ``REQUEST_TIMEOUT_S``."""

    routing = with_timeout(REQUEST_TIMEOUT_S)


@pytest.fixture
async def fleet(tmp_path):
    async with SlowFleet(tmp_path) as fleet:
        yield fleet
        assert fleet.record.problems == []


async def send_order(
    fleet: Fleet, session: aiohttp.ClientSession, request_id: str
) -> int:
    """Send a request that may run once; return its status, or 0 if it got none."""
    headers = {
        "Host": "app.example",
        "Request-Id": request_id,
        "Deadline-Milliseconds": str(int(REQUEST_TIMEOUT_S * 1000)),
    }
    url = f"http://{fleet.ip(1)}:{fleet.ports['callers']}/p/order"
    try:
        async with session.post(url, headers=headers, data=b"x") as answer:
            await answer.read()
            return answer.status
    except aiohttp.ClientError:
        return 0


@pytest.mark.parametrize("is_kept", [True, False])
async def test_requests_late_in_a_planned_stop_are_answered_or_not_passed_on(
    fleet, is_kept
):
    # Guards against orders that are accepted and passed on late in the grace period of
    # a planned stop and cut without an answer at its end, as other operators saw.
    for worker in fleet.workers.values():
        worker.work_s = WORK_S
    loop = asyncio.get_running_loop()
    connector = aiohttp.TCPConnector(limit=0, force_close=not is_kept)
    orders: dict[str, asyncio.Task] = {}
    async with aiohttp.ClientSession(connector=connector) as session:
        session._retry_connection = False
        fleet.terminate(1)
        started = loop.time()
        await asyncio.sleep(FIRST_ORDER_S)
        while loop.time() - started < LAST_ORDER_S:
            request_id = f"o-{len(orders)}"
            order = send_order(fleet, session, request_id)
            orders[request_id] = asyncio.ensure_future(order)
            await asyncio.sleep(REQUEST_INTERVAL_S)
        statuses = dict(
            zip(orders, await asyncio.gather(*orders.values()), strict=True)
        )
    async with asyncio.timeout(started + GRACE_S - loop.time()):
        assert await fleet.processes[1].wait() == 0
    cut = [i for i, status in statuses.items() if not status]
    assert [i for i in cut if i in fleet.record.runs] == []
    assert 200 in statuses.values()
