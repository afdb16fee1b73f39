"""A move that the store writes late, after its node was killed, leaves two holders.

An empty worker is added, so a node moves a range to it. The store doesn't answer the
write of the move and carries it out 3 s later. The node is killed meanwhile and started
again. With ``TROUBLE=0`` the write is answered and the node is not killed.
"""

import asyncio
import os
from pathlib import Path

from aiohttp import web

from review.common.fleet import CaseRecord, has_trouble, run_case
from review.common.holds import HoldingWorker
from sesamepost.internal.ranges.table import SECTION_KEYS
from tests.platform.fleet import Fleet
from tests.platform.store_standin import StoreStandin

RANGES_PREFIX = "sesamepost/ranges/"
NEW_NODE = 4
# A write that is carried out late is done 1 to 6 s after it was sent.
LATE_S = 3.0
KILL_AFTER_S = 0.3
RESTART_AFTER_S = 0.5
SETTLE_S = 2.0
WATCH_S = 9.0
MOVE_TIMEOUT_S = 20.0

# TROUBLE=0 leaves both disruptions out; these leave out one of them.
WITH_LATE_WRITE = has_trouble() and os.environ.get("ONLY", "late") == "late"
WITH_KILL = has_trouble() and os.environ.get("ONLY", "kill") == "kill"


class LateStore(StoreStandin):
    """A store that can leave one write of ranges unanswered and do it late."""

    def __init__(self) -> None:
        super().__init__()
        self.is_armed = False
        self.section = -1
        self.write_seen = asyncio.Event()
        self.record: CaseRecord | None = None

    async def _txn(self, request: web.Request) -> web.Response:
        body = await request.json()
        sections = [
            int(write["key"].rpartition("/")[2])
            for write in body["setKeys"]
            if write["key"].startswith(RANGES_PREFIX)
        ]
        if not self.is_armed or not sections:
            return await super()._txn(request)
        self.is_armed = False
        self.section = sections[0]
        self.write_seen.set()
        if not WITH_LATE_WRITE:
            return await super()._txn(request)
        self.record.note("the store has received the write of a move")
        await asyncio.sleep(LATE_S)
        response = await super()._txn(request)
        self.record.note(f"the store has done it late: status {response.status}")
        return response


class CaseFleet(Fleet):
    """Four nodes; those with an even index have a worker of the sharded service."""

    worker_type = HoldingWorker

    def __init__(self, folder: Path, nodes: int) -> None:
        super().__init__(folder, nodes)
        self.store = LateStore()


async def send_requests(fleet: Fleet, record: CaseRecord) -> None:
    """Send requests for all probed keys until cancelled."""
    while True:
        for key in fleet.record.probed_keys:
            status, headers, _ = await fleet.send_request(1, "/k/x", key)
            record.note(f"key {key} answered {status} {headers.get('Request-Id')}")
        await asyncio.sleep(0.1)


def node_that_moves(fleet: Fleet) -> int:
    """Return the node whose worker has released keys of the written section."""
    worker_id = next(
        worker
        for worker, first, _ in reversed(HoldingWorker.log.releases)
        if first // SECTION_KEYS == fleet.store.section
    )
    return next(i for i, worker in fleet.workers.items() if worker.id == worker_id)


async def run(fleet: Fleet, record: CaseRecord) -> bool:
    """Add a worker and return whether each key had one holder."""
    HoldingWorker.log.record = fleet.store.record = record
    traffic = asyncio.ensure_future(send_requests(fleet, record))
    await asyncio.sleep(SETTLE_S)
    fleet.store.is_armed = True
    await fleet.start_worker(NEW_NODE)
    await fleet.start(NEW_NODE)
    record.note("an empty worker is added")
    async with asyncio.timeout(MOVE_TIMEOUT_S):
        await fleet.store.write_seen.wait()
    if WITH_KILL:
        await asyncio.sleep(KILL_AFTER_S)
        index = node_that_moves(fleet)
        await fleet.kill(index)
        record.note(f"node {index} killed")
        await asyncio.sleep(RESTART_AFTER_S)
        await fleet.start(index)
        record.note(f"node {index} started")
    await asyncio.sleep(WATCH_S)
    traffic.cancel()
    return HoldingWorker.log.judge()


run_case(Path(__file__).parent, lambda folder: CaseFleet(folder, 4), run)
