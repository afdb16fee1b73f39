"""A worker that has left is used again after its node has started anew.

The worker sends its leave message without reporting ``draining`` first, and goes on
serving for a while. Its node is killed and started again. A check-in that the worker
sent before the leave message arrives late, at the new process. With ``TROUBLE=0`` the
node is not killed; all else is the same.
"""

import asyncio
import time
from pathlib import Path

from aiohttp import web

from review.common.fleet import CaseRecord, has_trouble, run_case
from tests.platform.fleet import Fleet
from tests.platform.worker_standin import WorkerStandin

# The bounds of the site file.
DRAIN_TIMEOUT_S = 2.5
CONTACT_S = 3.0
# Times after the confirmation of the leave message.
KILL_AT_S = 1.0
RESTART_AT_S = 1.5
CHECK_IN_AT_S = 3.5
END_AT_S = 12.0
REQUEST_PAUSE_S = 0.03
LEAVING = 1

arrivals: list[tuple[float, str, str]] = []


class LeavingWorker(WorkerStandin):
    """A worker that records the arrival of each request that it runs."""

    has_left = False

    async def _request(self, request: web.Request) -> web.Response:
        arrived_at = time.monotonic()
        response = await super()._request(request)
        if response.status == 200:
            arrivals.append((arrived_at, self.id, request.headers["Request-Id"]))
        return response

    async def _health(self, request: web.Request) -> web.Response:
        status = 503 if self.has_left else 200
        return web.Response(status=status, headers={"Instance-Id": self.id})


class CaseFleet(Fleet):
    """Four nodes; those with an odd index have a worker of the service without keys."""

    worker_type = LeavingWorker


async def send_requests(fleet: Fleet, record: CaseRecord) -> None:
    """Send requests of the service without keys through the other nodes."""
    while True:
        for via in (0, 2, 3):
            status, headers, _ = await fleet.send_request(via, "/p/x", body="order")
            record.note(f"node {via} answered {status} {headers.get('Request-Id')}")
            await asyncio.sleep(REQUEST_PAUSE_S)


async def run(fleet: Fleet, record: CaseRecord) -> bool:
    """Let a worker leave; return whether it gets no requests after the bound."""
    worker = fleet.workers[LEAVING]
    control = f"http://{fleet.ip(LEAVING)}:{fleet.ports['control']}"
    traffic = asyncio.ensure_future(send_requests(fleet, record))
    await asyncio.sleep(2.0)
    worker.heartbeat_task.cancel()
    worker.sequence += 1
    late_check_in = worker._heartbeat()
    record.note(f"check-in that will be late: {late_check_in}")
    await asyncio.sleep(0.1)
    worker.has_left = True
    url = f"{control}/Instances.Leave/{worker.id}"
    async with fleet.session.post(url, json={"born": worker.born}) as answer:
        record.note(f"leave of {worker.id} answered {answer.status}")
        if answer.status != 200:
            raise RuntimeError("the leave message was not confirmed")
    confirmed_at = time.monotonic()

    async def sleep_until(after_s: float) -> None:
        await asyncio.sleep(confirmed_at + after_s - time.monotonic())

    in_touch_from = confirmed_at
    await sleep_until(KILL_AT_S)
    if has_trouble():
        await fleet.kill(LEAVING)
        record.note(f"node {LEAVING} killed")
    await sleep_until(RESTART_AT_S)
    if has_trouble():
        await fleet.start(LEAVING)
        in_touch_from = time.monotonic() + CONTACT_S
        record.note(f"node {LEAVING} started")
    await sleep_until(CHECK_IN_AT_S)
    url = f"{control}/Instances.Heartbeat/{worker.id}"
    async with fleet.session.post(url, json=late_check_in) as answer:
        record.note(f"late check-in answered {answer.status}")
    await sleep_until(END_AT_S)
    traffic.cancel()

    due_at = max(confirmed_at + DRAIN_TIMEOUT_S, in_touch_from)
    late = 0
    for at, worker_id, request_id in arrivals:
        is_late = worker_id == worker.id and at > due_at
        late += is_late
        mark = "LATE" if is_late else ""
        record.note(
            f"run {request_id} by {worker_id} at {at - confirmed_at:.2f} {mark}"
        )
    summary = (
        f"{late} requests reached the worker later than {due_at - confirmed_at:.2f} s "
        f"after its leave was confirmed, of {len(arrivals)} in all"
    )
    record.note(summary)
    print(summary)
    return late == 0


run_case(
    Path(__file__).parent / "left_worker", lambda folder: CaseFleet(folder, 4), run
)
