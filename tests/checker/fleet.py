"""A fleet of nodes with their workers, one service with keys and one store."""

import itertools
from collections.abc import Callable
from contextvars import Context
from random import Random

from sesamepost.internal.ranges.table import (
    LAST_KEY,
    SECTIONS,
    TABLE_PREFIX,
    RangeTable,
    decode_section,
    join_sections,
)
from sesamepost.platform.names import OPERATOR_KEY
from tests.checker.invariants import THAW_SLACK_S, Life, Observer
from tests.checker.loop import VirtualLoop
from tests.checker.network import Network
from tests.checker.node_process import OTHER_SERVICE, SERVICE, NodeProcess
from tests.checker.store import Store
from tests.checker.worker_process import WorkerProcess

REQUEST_INTERVAL_S = 0.1
WORK_S = 0.03
MIN_DELAY_S = 0.0005
MAX_DELAY_S = 0.005
EPOCH_MS = 1_700_000_000_000


def vm_of(index: int) -> str:
    """Return the name of a machine."""
    return f"10.0.0.{index + 1}"


class Machine:
    """A node and the worker beside it; each may be down."""

    def __init__(self, fleet: "Fleet", index: int) -> None:
        self.fleet = fleet
        self.vm = vm_of(index)
        self.random = Random(f"{fleet.seed} {index}")
        self.clock_offset_s = 100.0 + self.random.random() * 1000
        self.node: NodeProcess | None = None
        self.worker: WorkerProcess | None = None
        self.worker_numbers = itertools.count(1)
        self.used_lives: set[Life] = set()
        self.heartbeat_late_s = 0.0
        # When the link to the worker healed, and the processes of the node.
        self.healed_at: list[float] = []
        self.nodes: list[NodeProcess] = []

    @property
    def index(self) -> int:
        """The place of the machine in the fleet."""
        return self.fleet.machines.index(self)

    def start_node(self) -> None:
        """Start the node's process, if it is down."""
        if self.node is None or self.node.process.has_ended:
            self.node = NodeProcess(self, self.fleet.next_incarnation())
            self.nodes.append(self.node)

    def kill_node(self) -> None:
        """Kill the node's process."""
        if self.node is not None:
            self.fleet.network.end_process(self.node.process)

    def start_worker(
        self, worker_id: str | None = None, step_s: float = 0.0, silent_s: float = 0.0
    ) -> None:
        """Start a life of the worker, if none runs."""
        if self.worker is not None and self.worker.is_up:
            return
        if worker_id is None:
            worker_id = f"i-{self.index + 1}-{next(self.worker_numbers)}"
        born = EPOCH_MS + int((self.fleet.loop.now + step_s) * 1000)
        while (worker_id, born) in self.used_lives:
            born += 1
        self.used_lives.add((worker_id, born))
        self.worker = WorkerProcess(self, worker_id, born, silent_s)

    def end_worker(self) -> None:
        """End the worker's process."""
        if self.worker is not None and self.worker.is_up:
            self.worker.end()

    def receive_heartbeat(
        self, worker_id: str, body: dict, connection: object, answer: Callable
    ) -> None:
        """Hand a heartbeat to the node; if it is down, the call fails at once."""
        if self.node is None or self.node.process.has_ended:
            answer(None)
            return
        self.node.receive_heartbeat(worker_id, body, connection, answer)

    def receive_leave(self, worker_id: str, body: bytes) -> None:
        """Hand a leave message to the node."""
        if self.node is not None and not self.node.process.has_ended:
            self.fleet.loop.call_soon(
                self.node.receive_leave,
                worker_id,
                body,
                context=self.node.process.context,
            )

    def send_odd_heartbeat(self) -> None:
        """Send a heartbeat of another service with the address of the worker."""
        if self.worker is None:
            return
        body = self.worker.worker.heartbeat()
        self.worker.worker.sequence -= 1
        body["serviceInfo"] = {**body["serviceInfo"], "service": OTHER_SERVICE}
        body["born"] += 60_000
        body |= {"holds": [], "released": []}
        self.receive_heartbeat("odd-1", body, object(), lambda answer: None)

    def excuses(self, arrived_at: float) -> bool:
        """Return whether a grant of this node that arrived then does not count."""
        thaws = [node.process.thawed_at for node in self.nodes]
        return any(
            0 <= arrived_at - since <= THAW_SLACK_S for since in thaws + self.healed_at
        )


class Fleet:
    """All machines of an order and what is between them."""

    def __init__(
        self, loop: VirtualLoop, seed: str, nodes: int, by_heartbeat: bool
    ) -> None:
        self.loop = loop
        self.seed = seed
        self.by_heartbeat = by_heartbeat
        self.random = Random(f"{seed} fleet")
        self.network = Network(loop, Random(f"{seed} network"))
        self.store = Store(loop)
        self.store.put(OPERATOR_KEY, b"1")
        self.observer = Observer(self._is_excused)
        self.incarnations = itertools.count(1)
        self.request_ids = itertools.count(1)
        self.work_s = WORK_S
        self.peers_apart_until = 0.0
        self.machines = [Machine(self, index) for index in range(nodes)]

    def start(self) -> None:
        """Start all processes within 0.3 s, in any order, and the callers."""
        for machine in self.machines:
            self.at(self.random.random() * 0.3, machine.start_node)
            self.at(self.random.random() * 0.3, machine.start_worker)
        self.at(1.0, self._send_requests)

    def at(self, when: float, callback: Callable, *args) -> None:
        """Call a function at a time of the order, outside all processes."""
        when = max(when, self.loop.now)
        self.loop.call_at(when, callback, *args, context=Context())

    def send(self, receive: Callable, *args) -> None:
        """Send a message from the running process, which arrives a little later."""
        self.send_later(0.0, receive, *args)

    def send_later(self, late_s: float, receive: Callable, *args) -> None:
        """Send a message from the running process with an additional delay."""
        delay_s = MIN_DELAY_S + self.random.random() * (MAX_DELAY_S - MIN_DELAY_S)
        self.at(self.loop.time() + delay_s + late_s, receive, *args)

    def send_to_peer(self, sender_vm: str, vm: str, message) -> None:
        """Send a message from a node to another one."""
        if self.loop.time() >= self.peers_apart_until:
            late_s = self.random.choice((0.0, 0.0, 0.05, 0.5))
            self.send_later(late_s, self._deliver_to_peer, sender_vm, vm, message)

    def _deliver_to_peer(self, sender_vm: str, vm: str, message) -> None:
        node = next(m.node for m in self.machines if m.vm == vm)
        if node is None or node.process.has_ended or node.ownership is None:
            return
        context = node.process.context
        self.loop.call_soon(node.receive, sender_vm, message, context=context)

    def next_incarnation(self) -> int:
        """Return the incarnation of the next process of a node."""
        return next(self.incarnations)

    def _is_excused(self, life: Life, arrived_at: float) -> bool:
        machine = next(m for m in self.machines if life in m.used_lives)
        return machine.excuses(arrived_at)

    def _send_requests(self) -> None:
        """Send a request to each worker, as nodes with outdated tables may.

        Half of them are for the first or last key of a range, where ranges are split.
        """
        self.at(self.loop.now + REQUEST_INTERVAL_S, self._send_requests)
        key = self.random.randrange(LAST_KEY + 1)
        held = [h for r in self.observer.lives.values() for h in r.held]
        if held and self.random.random() < 0.5:
            hold = self.random.choice(held)
            key = self.random.choice((hold.first, hold.last))
        for machine in self.machines:
            if machine.worker is not None and machine.worker.is_up:
                request_id = f"r{next(self.request_ids)}"
                machine.worker.begin_request(request_id, key, self.work_s)

    def table(self) -> RangeTable | None:
        """Return the table in the store, or None if there is none."""
        keys = [f"{TABLE_PREFIX}{SERVICE}/{index}" for index in range(SECTIONS)]
        if any(key not in self.store.items for key in keys):
            return None
        return join_sections(
            [
                decode_section(self.store.items[key].value, index)
                for index, key in enumerate(keys)
            ]
        )

    def unserved(self) -> str:
        """Return why some keys are not served, or an empty string if all are."""
        table = self.table()
        if table is None:
            return "there is no table"
        for r in table.ranges:
            machine = next(
                (m for m in self.machines if r.owner and m.vm == r.owner.vm), None
            )
            if machine is None or machine.worker is None or not machine.worker.is_up:
                return f"keys {r.first} to {r.last} belong to {r.owner}"
            worker = machine.worker.worker
            if worker.life != r.owner.incarnation:
                return f"keys {r.first} to {r.last} belong to {r.owner}"
            if not worker.holds(r.first) or not worker.holds(r.last):
                return f"{r.owner} does not hold keys {r.first} to {r.last}"
        return ""
