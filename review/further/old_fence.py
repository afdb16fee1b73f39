"""A late check-in gives the keys of a worker to its next life with the old fence.

A worker crashes and starts again at the same address, with a new id. A check-in of its
former life arrives late, before the first check-in of the new life. With ``TROUBLE=0``
the late check-in is not sent; all else is the same.
"""

import asyncio
from pathlib import Path

from review.common.fleet import CaseRecord, has_trouble, run_case
from review.common.holds import HoldingWorker
from tests.platform.fleet import Fleet

# The interval of check-ins in the settings of the site, which is also the time until
# the first one of a new life.
HEARTBEAT_S = 0.87
DOWN_S = 1.0
LATE_AFTER_START_S = 0.1
SETTLE_S = 3.0
WATCH_S = 4.0
REQUEST_PAUSE_S = 0.2
CRASHING = 0


class SlowStartWorker(HoldingWorker):
    """A worker that checks in for the first time one interval after its start."""

    pause_before_first_s = 0.0

    async def _send_heartbeats(self) -> None:
        await asyncio.sleep(self.pause_before_first_s)
        await super()._send_heartbeats()


class CaseFleet(Fleet):
    """Four nodes; those with an even index have a worker of the sharded service."""

    worker_type = SlowStartWorker


async def send_requests(fleet: Fleet, record: CaseRecord) -> None:
    """Send requests for all probed keys until cancelled."""
    while True:
        for key in fleet.record.probed_keys:
            status, headers, _ = await fleet.send_request(1, "/k/x", key)
            record.note(f"key {key} answered {status} {headers.get('Request-Id')}")
        await asyncio.sleep(REQUEST_PAUSE_S)


async def run(fleet: Fleet, record: CaseRecord) -> bool:
    """Let a worker crash; return whether its next life takes only higher fences."""
    HoldingWorker.log.record = record
    await asyncio.sleep(SETTLE_S)
    former = fleet.workers[CRASHING]
    former.sequence += 1
    late_check_in = former._heartbeat()
    record.note(f"check-in that will be late: {late_check_in}")
    await fleet.stop_worker(CRASHING)
    HoldingWorker.log.end_worker(former.id)
    record.note(f"worker {former.id} has crashed")
    await asyncio.sleep(DOWN_S)
    SlowStartWorker.pause_before_first_s = HEARTBEAT_S
    await fleet.start_worker(CRASHING)
    record.note(f"worker {fleet.workers[CRASHING].id} has started")
    await asyncio.sleep(LATE_AFTER_START_S)
    if has_trouble():
        address = f"http://{fleet.ip(CRASHING)}:{fleet.ports['control']}"
        url = f"{address}/Instances.Heartbeat/{former.id}"
        async with fleet.session.post(url, json=late_check_in) as answer:
            record.note(f"late check-in of {former.id} answered {answer.status}")
    traffic = asyncio.ensure_future(send_requests(fleet, record))
    await asyncio.sleep(WATCH_S)
    traffic.cancel()
    return HoldingWorker.log.judge()


run_case(Path(__file__).parent / "old_fence", lambda folder: CaseFleet(folder, 4), run)
