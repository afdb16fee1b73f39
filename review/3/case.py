"""One check-in from another writer makes a node give its worker's keys away.

The check-in names a service that the config doesn't name. With ``TROUBLE=0`` it is not
sent.
"""

import asyncio
import time
from pathlib import Path

from review.common.fleet import CaseRecord, has_trouble, run_case
from review.common.holds import HoldingWorker
from tests.platform.fleet import Fleet

SETTLE_S = 3.0
WATCH_S = 6.0
REQUEST_PAUSE_S = 0.1


class CaseFleet(Fleet):
    """Four nodes; those with an even index have a worker of the sharded service."""

    worker_type = HoldingWorker


async def send_odd_check_in(fleet: Fleet, record: CaseRecord) -> None:
    """Send a check-in of another writer to the first node."""
    body = {
        "address": f"{fleet.ip(0)}:{fleet.ports['worker']}",
        "born": int(time.time() * 1000),
        "serviceInfo": {
            "service": "not-named-here",
            "version": "v1",
            "zone": "a",
            "slots": 4,
        },
        "status": {"state": "ready", "sequence": 1, "coldRemainingS": 0},
    }
    url = f"http://{fleet.ip(0)}:{fleet.ports['control']}/Instances.Heartbeat/odd-1"
    async with fleet.session.post(url, json=body) as answer:
        record.note(f"odd check-in {body} answered {answer.status}")


async def send_requests(fleet: Fleet, record: CaseRecord) -> None:
    """Send requests for all probed keys until cancelled."""
    while True:
        for key in fleet.record.probed_keys:
            status, headers, _ = await fleet.send_request(1, "/k/x", key)
            record.note(f"key {key} answered {status} {headers.get('Request-Id')}")
        status, _, text = await fleet.send_request(0, "/p/x", body="order")
        record.note(f"from the first machine: {status}, as the worker got it: {text!r}")
        await asyncio.sleep(REQUEST_PAUSE_S)


async def run(fleet: Fleet, record: CaseRecord) -> bool:
    """Send the check-in and return whether each key had one holder."""
    HoldingWorker.log.record = record
    traffic = asyncio.ensure_future(send_requests(fleet, record))
    await asyncio.sleep(SETTLE_S)
    if has_trouble():
        await send_odd_check_in(fleet, record)
    await asyncio.sleep(WATCH_S)
    traffic.cancel()
    return HoldingWorker.log.judge()


run_case(Path(__file__).parent, lambda folder: CaseFleet(folder, 4), run)
