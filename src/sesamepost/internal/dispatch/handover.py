"""Planned moves of items, on both the current and the next owner."""

import asyncio
import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from sesamepost.internal.clock import boottime
from sesamepost.internal.controller.link import ControllerLink
from sesamepost.internal.dispatch.dispatcher import Dispatcher
from sesamepost.internal.dispatch.records import RecordsRunningError
from sesamepost.internal.documents.views import ASSIGNMENT_PREFIX, Views
from sesamepost.internal.identity import NodeId
from sesamepost.internal.ownership.assignment import Assignment, Placement
from sesamepost.internal.ownership.items import Item, key_hash_filter
from sesamepost.internal.ownership.messages import (
    Records,
    RecordsTaken,
    Release,
    Released,
)
from sesamepost.internal.wire.pool import PeerPool
from sesamepost.internal.wire.stream import PeerStream, StreamClosedError

RECORDS_TIMEOUT_S = 1.0

log = structlog.get_logger()


@dataclass(slots=True)
class ActiveRelease:
    """A requested release; ``answer`` is set once it is complete."""

    request: Release
    answer: Released | None = None
    task: asyncio.Task | None = None


class Handover:
    """Releases items to other nodes and imports the records of items moved here."""

    def __init__(
        self,
        node: NodeId,
        pool: PeerPool,
        views: Views,
        dispatcher: Dispatcher,
        link: ControllerLink,
    ) -> None:
        self.node = node
        self.pool = pool
        self.views = views
        self.dispatcher = dispatcher
        self.link = link
        self.counters: Counter[str] = Counter()
        self.active: dict[Item, ActiveRelease] = {}
        self.unacknowledged: dict[tuple[Item, int, int], asyncio.Future] = {}
        self.last_assignments: dict[str, Assignment] = {}
        self.on_released: Callable[[Item], None] = lambda item: None
        dispatcher.on_item_idle = self._on_item_idle
        pool.on(Release, self._on_release)
        pool.on(Records, self._on_records)
        pool.on(RecordsTaken, self._on_records_taken)
        self.subscription = views.changed.subscribe(self._on_document)

    def _on_release(self, stream: PeerStream, request: Release) -> None:
        item = Item(request.service, request.is_key, request.item)
        placement = self._placement(item)
        if placement is None or placement.epoch != request.epoch:
            # This daemon has not received the assignment yet, or the release is
            # outdated. The controller repeats a release that is still needed.
            self.counters["releases_of_other_epochs"] += 1
            return
        active = self.active.get(item)
        if active is not None and active.request == request:
            if active.answer is not None:
                self.link.send(active.answer)
            return
        if active is not None and active.task is not None:
            active.task.cancel()
        self.active[item] = ActiveRelease(request)
        self.counters["releases"] += 1
        if self.dispatcher.releases.begin(item, request.epoch):
            self._on_item_idle(item)

    def _on_item_idle(self, item: Item) -> None:
        active = self.active.get(item)
        if active is not None and active.task is None:
            active.task = asyncio.ensure_future(self._complete(item, active))

    async def _complete(self, item: Item, active: ActiveRelease) -> None:
        request = active.request
        try:
            records_kept = await self._send_records(item, request)
        except RecordsRunningError:
            # A repeated release tries again after the request has ended.
            self.active.pop(item, None)
            return
        active.answer = Released(*item, request.epoch, request.target, records_kept)
        self.counters["released"] += 1
        self.on_released(item)
        self.link.send(active.answer)

    async def _send_records(self, item: Item, request: Release) -> bool:
        assignment = self.views.assignments[item.service]
        placement = self._placement(item)
        address = self.views.address_of(request.target)
        if address is None or placement is None or placement.epoch != request.epoch:
            return False
        parts = self.dispatcher.records.export(
            item, placement, key_hash_filter(assignment, item), boottime()
        )
        try:
            stream = await self.pool.stream_to(address, request.target)
            for part in parts:
                if not await self._send_part(stream, item, part):
                    return False
        except (StreamClosedError, TimeoutError):
            self.counters["records_not_taken"] += 1
            return False
        return True

    async def _send_part(self, stream: PeerStream, item: Item, part: Records) -> bool:
        part_key = (item, part.epoch, part.part)
        future = asyncio.get_running_loop().create_future()
        self.unacknowledged[part_key] = future
        try:
            stream.send(part)
            async with asyncio.timeout(RECORDS_TIMEOUT_S):
                return await future
        finally:
            del self.unacknowledged[part_key]

    def _on_records(self, stream: PeerStream, part: Records) -> None:
        taken = self.dispatcher.records.import_records(part, boottime())
        self.counters["record_parts_taken" if taken else "record_parts_refused"] += 1
        stream.send(
            RecordsTaken(
                part.service, part.is_key, part.item, part.epoch, part.part, taken
            )
        )

    def _on_records_taken(self, stream: PeerStream, answer: RecordsTaken) -> None:
        item = Item(answer.service, answer.is_key, answer.item)
        future = self.unacknowledged.get((item, answer.epoch, answer.part))
        if future is not None and not future.done():
            future.set_result(answer.taken)

    def _placement(self, item: Item) -> Placement | None:
        """Return the placement of an item that this node owns, else None."""
        assignment = self.views.assignments.get(item.service)
        if assignment is None:
            return None
        placement = _placement_of(assignment, item)
        return placement if placement.owner == self.node else None

    def _on_document(self, name: str) -> None:
        if not name.startswith(ASSIGNMENT_PREFIX):
            return
        service = name.removeprefix(ASSIGNMENT_PREFIX)
        assignment = self.views.assignments[service]
        previous, self.last_assignments[service] = (
            self.last_assignments.get(service),
            assignment,
        )
        self.dispatcher.releases.discard_superseded(assignment)
        for item, active in list(self.active.items()):
            if item.service != service:
                continue
            if _placement_of(assignment, item).epoch != active.request.epoch:
                del self.active[item]
        self._update_records(previous, assignment)

    def _update_records(self, previous: Assignment | None, current: Assignment) -> None:
        """Begin the coverage of items gained and forget the records of items lost."""
        records = self.dispatcher.records
        now = boottime()
        owned = _partitions_of(current, self.node)
        for partition in owned:
            item = Item(current.service, False, partition)
            coverage = current.coverage_epochs[partition]
            if coverage == 0:
                # No records of this partition have ever been lost.
                records.begin_coverage(item, 0, -math.inf)
            elif coverage == current.epochs[partition]:
                records.begin_coverage(item, coverage, now)
        if previous is not None:
            for partition in _partitions_of(previous, self.node) - owned:
                item = Item(current.service, False, partition)
                records.forget(item, key_hash_filter(current, item))
        for key_hash, entry in current.key_overrides.items():
            is_owner = current.nodes[entry.owner] == self.node
            if is_owner and entry.epoch == entry.coverage_epoch:
                item = Item(current.service, True, key_hash)
                records.begin_coverage(item, entry.coverage_epoch, now)


def _partitions_of(assignment: Assignment, node: NodeId) -> set[int]:
    if node not in assignment.nodes:
        return set()
    index = assignment.nodes.index(node)
    return {p for p, owner in enumerate(assignment.owners) if owner == index}


def _placement_of(assignment: Assignment, item: Item) -> Placement:
    if item.is_key:
        return assignment.find(item.number)
    return Placement(
        assignment.owner_of_partition(item.number),
        item.number,
        assignment.epochs[item.number],
        assignment.coverage_epochs[item.number],
    )
