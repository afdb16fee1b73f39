"""A node's process in the checker: the product's ownership on simulated I/O."""

import asyncio
import json
from collections.abc import Callable
from contextlib import suppress
from contextvars import Context
from typing import TYPE_CHECKING

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.messages import EndpointEnded
from sesamepost.internal.coordination.nodes import NodeEntry
from sesamepost.internal.coordination.store import Item, StoreError
from sesamepost.internal.forwarding.endpoint_pool import EndpointPool
from sesamepost.internal.forwarding.ownership import Ownership
from sesamepost.internal.forwarding.routes import Service
from sesamepost.internal.ranges.heartbeat_holds import ANSWER_TIMEOUT_S, HoldReport
from sesamepost.internal.ranges.messages import RangeUpdate
from sesamepost.internal.ranges.table import Owner
from sesamepost.internal.wire.pool import Address
from sesamepost.platform.control_plane import (
    HeartbeatError,
    decode_heartbeat,
    decode_leave,
    encode_order,
)
from sesamepost.platform.endpoint_commands import WorkerCommands
from sesamepost.platform.names import HEADERS, OPERATOR_KEY
from tests.checker.loop import Process, VirtualLoop
from tests.checker.store_client import StoreClient
from tests.checker.versioned_calls import Answer, VersionedCalls

if TYPE_CHECKING:
    from tests.checker.fleet import Machine

SERVICE = "keyed"
OTHER_SERVICE = "other"
WORKER_PORT = 8628
PEER_PORT = 7600
MAX_HOLD_S = 10.0
STORE_RETRY_S = 0.15
# As in ``Node.stop``.
UNREADY_DELAY_S = 2.3


class ProcessStore(VersionedCalls):
    """The store as one process calls it.

    A call goes on, and may be carried out, if the process is stopped or killed.
    """

    def __init__(self, loop: VirtualLoop, client: StoreClient) -> None:
        super().__init__()
        self.loop = loop
        self.client = client

    async def ask(self, kind: str, *arguments) -> Answer:
        """Return the answer to a call."""
        outcome = self.loop.create_future()
        self.loop.call_at(
            self.loop.time(),
            self._start,
            (kind, *arguments),
            outcome,
            context=Context(),
        )
        return await outcome

    def _start(self, arguments: tuple, outcome) -> None:
        work = _resolve(self.client.ask, arguments, outcome)
        self.loop.spawn_outside(work)


async def _resolve(function: Callable, arguments: tuple, outcome) -> None:
    try:
        result = await function(*arguments)
    except StoreError as error:
        if not outcome.done():
            outcome.set_exception(error)
        return
    if not outcome.done():
        outcome.set_result(result)


class NodeProcess:
    """One run of a node's process."""

    def __init__(self, machine: "Machine", incarnation: int) -> None:
        self.machine = machine
        self.vm = machine.vm
        self.fleet = machine.fleet
        loop = machine.fleet.loop
        self.process = Process(loop, f"node {self.vm}", machine.clock_offset_s)
        self.incarnation = incarnation
        self.ownership: Ownership | None = None
        self.is_stopping = False
        self.sigterm = asyncio.Event()
        # The connection and the time of the last answer to a heartbeat.
        self.answered_on: object | None = None
        self.answered_at = float("-inf")
        self.process.spawn(self._run())

    async def _run(self) -> None:
        address = Address(self.vm, WORKER_PORT)
        entry = NodeEntry(
            self.vm, self.vm, self.incarnation, PEER_PORT, "zone-a", "region-a", None
        )
        client = self.fleet.store.client(self.vm)
        store = ProcessStore(self.fleet.loop, client)
        pool = EndpointPool(address, HEADERS)
        commands = WorkerCommands(address)
        ownership = Ownership(entry, store, pool, commands, HEADERS, MAX_HOLD_S)
        ownership.send_to_peer = self._send_to_peer
        ownership.mirror.changes.subscribe(self._on_change)
        self.ownership = ownership
        # A killed process leaves no context, so these are left only after SIGTERM.
        await ownership.__aenter__()
        joining = asyncio.create_task(self._join(store))
        await self.sigterm.wait()
        await self._stop()
        joining.cancel()
        for part in (ownership, commands, pool):
            await part.__aexit__(None, None, None)
        self.fleet.network.end_process(self.process)

    async def _join(self, store: ProcessStore) -> None:
        """Register as soon as the store can be reached."""
        while True:
            try:
                await store.get(OPERATOR_KEY)
                break
            except StoreError:
                await asyncio.sleep(STORE_RETRY_S)
        await self.ownership.register()

    async def _stop(self) -> None:
        """Leave as ``Node.stop`` does."""
        started = boottime()
        await self.ownership.leave(started + UNREADY_DELAY_S + 0.5)
        await asyncio.sleep(max(0.0, started + UNREADY_DELAY_S - boottime()))
        await self.ownership.withdraw()

    def stop(self) -> None:
        """Deliver SIGTERM."""
        self.is_stopping = True
        self.fleet.loop.call_soon(self.sigterm.set, context=self.process.context)

    def _on_change(self, event) -> None:
        if event.key != OPERATOR_KEY or not isinstance(event, Item):
            return
        by_heartbeat = self.fleet.by_heartbeat
        self.ownership.set_services(
            [
                Service(SERVICE, True, 64, "/health", by_heartbeat),
                Service(OTHER_SERVICE, False, 64, "/health"),
            ]
        )

    async def _send_to_peer(self, peer: NodeEntry, message) -> None:
        self.fleet.send_to_peer(self.vm, peer.vm, message)

    def receive(self, sender_vm: str, message) -> None:
        """Handle a message of another node."""
        match message:
            case RangeUpdate():
                self.ownership.offer_range(message)
            case EndpointEnded(vm=vm, endpoint_id=endpoint_id, born=born):
                if vm == sender_vm:
                    self.ownership.note_endpoint_ended(Owner(vm, endpoint_id, born))

    def receive_heartbeat(
        self, worker_id: str, body: dict, connection: object, answer: Callable
    ) -> None:
        """Handle a heartbeat that has arrived; ``answer`` is called with the answer."""
        data = json.dumps(body).encode()
        self.process.spawn(self._answer_heartbeat(worker_id, data, connection, answer))

    async def _answer_heartbeat(
        self, worker_id: str, data: bytes, connection: object, answer: Callable
    ) -> None:
        """Answer as ``ControlPlane`` does."""
        ownership = self.ownership
        if ownership is None:
            return
        own_address = f"{self.vm}:{WORKER_PORT}"
        try:
            heartbeat = decode_heartbeat(worker_id, data, own_address)
        except HeartbeatError:
            return
        service = heartbeat.endpoint.service
        if service not in ownership.services and service != SERVICE:
            return
        is_late = boottime() - self.answered_at >= ANSWER_TIMEOUT_S
        follows_answer = is_late or connection is self.answered_on
        report = HoldReport(heartbeat.held, heartbeat.released, follows_answer)
        order = await ownership.answer_heartbeat(
            heartbeat.endpoint, heartbeat.sequence, report
        )
        self.answered_on = connection
        self.answered_at = boottime()
        self.fleet.send(answer, encode_order(order))

    def receive_leave(self, worker_id: str, body: bytes) -> None:
        """Handle a leave message that has arrived."""
        if self.ownership is not None:
            with suppress(ValueError):
                self.ownership.note_leave(worker_id, decode_leave(body))
