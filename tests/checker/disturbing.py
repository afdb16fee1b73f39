"""Carries out events on a fleet."""

from functools import partial

from sesamepost.internal.ranges.balance import Move
from tests.checker import events, store_client
from tests.checker.fleet import WORK_S, Fleet, Machine
from tests.checker.node_process import SERVICE
from tests.checker.store import StoreCopy
from tests.checker.worker_server import (
    Ignored,
    LateAnswer,
    LateExecution,
    NoAnswer,
    Prompt,
)

FIRST_ERA = 1
# A killed process has made its last calls to the store within this time.
LAST_CALLS_S = 0.3
# A call to a slow store is answered within the time-out of its client.
SLOW_CALL_S = 0.05
MAX_SLOW_ANSWER_S = 0.7


def end_of(event: events.Event) -> float:
    """Return when the fault of an event has ended, as far as it lasts."""
    match event:
        case events.NodeKilled(at, _, down_s, late_s):
            return at + max(down_s, late_s)
        case events.NodeStopped(at, _, down_s):
            return at + 3.0 + down_s
        case events.WorkerKilled(at, _, down_s, silent_s=silent_s):
            return at + (down_s or 0.0) + silent_s
        case events.WorkerLeaves(at, _, serves_s, down_s):
            return at + serves_s + (down_s or 0.0)
        case events.GrantsLate(at, _, duration_s, late_s, _):
            return at + duration_s + late_s
        case events.StoreFault(at, _, duration_s, _, late_s):
            return at + duration_s + late_s
        case events.HeartbeatsLate(at, _, duration_s, late_s):
            return at + duration_s + late_s
        case events.WatchesLate(at, _, duration_s, late_s):
            return at + duration_s + late_s
        case events.StoreRestored(at, _, down_s):
            return at + down_s
        case events.NodeStopsAtRead(at, _, _, duration_s):
            return at + 1.0 + duration_s
    return event.at + getattr(event, "duration_s", 0.0)


class Disturber:
    """Schedules the events of an order on its fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        # The number of the last fault of each kind, so that only the last one ends it.
        self.last_faults: dict[tuple, int] = {}
        self.copies: dict[events.StoreRestored, StoreCopy] = {}

    def schedule(self, event: events.Event) -> None:
        """Carry out an event at its time."""
        early_s = LAST_CALLS_S if isinstance(event, events.NodeKilled) else 0.0
        self.fleet.at(event.at - early_s, self._begin, event)
        if isinstance(event, events.StoreRestored):
            self.fleet.store.era = FIRST_ERA
            self.fleet.at(event.at - event.age_s, self._take_copy, event)

    def _take_copy(self, event: events.StoreRestored) -> None:
        self.copies[event] = self.fleet.store.take_copy()

    def _begin(self, event: events.Event) -> None:
        match event:
            case (
                events.StoreFault()
                | events.WatchesLate()
                | events.StoreDown()
                | events.StoreRestored()
                | events.EntryRemoved()
                | events.HistoryForgotten()
                | events.KeysMoved()
                | events.PeersApart()
                | events.LongRequests()
            ):
                self._begin_shared(event)
            case (
                events.NodeKilled()
                | events.NodeStopped()
                | events.NodeFrozen()
                | events.NodeStopsAtRead()
                | events.NodeSlowed()
            ):
                self._begin_at_node(event, self.fleet.machines[event.node])
            case _:
                self._begin_at_worker(event, self.fleet.machines[event.node])

    def _begin_at_node(self, event: events.Event, machine: Machine) -> None:
        at = self.fleet.at
        now = self.fleet.loop.now
        process = machine.node.process if machine.node else None
        if process is None or process.has_ended:
            return
        match event:
            case events.NodeKilled(_, node, down_s, late_s):
                if late_s:
                    fault = store_client.LateExecution(late_s)
                    self._set_store_fault(node, fault, LAST_CALLS_S + 0.01)
                at(now + LAST_CALLS_S, machine.kill_node)
                at(now + LAST_CALLS_S + down_s, machine.start_node)
            case events.NodeStopped(down_s=down_s):
                machine.node.stop()
                self._start_again(machine, process, down_s)
            case events.NodeFrozen(duration_s=duration_s):
                process.stop(duration_s)
            case events.NodeStopsAtRead(_, _, reads, duration_s, is_slow):
                process.stop_after(reads, duration_s, is_slow)
            case events.NodeSlowed(_, _, duration_s, turn_s):
                process.turn_s = turn_s
                at(now + duration_s, setattr, process, "turn_s", 0.0)

    def _start_again(self, machine: Machine, process, down_s: float) -> None:
        """Start a node again ``down_s`` after its process has ended."""
        now = self.fleet.loop.now
        if process.has_ended:
            self.fleet.at(now + down_s, machine.start_node)
            return
        self.fleet.at(now + 0.05, self._start_again, machine, process, down_s)

    def _begin_at_worker(self, event: events.Event, machine: Machine) -> None:
        fleet = self.fleet
        worker = machine.worker
        if worker is None or not worker.is_up:
            return
        server, network = worker.server, fleet.network
        match event:
            case events.WorkerKilled(_, _, down_s, keeps_id, step_s, silent_s):
                machine.end_worker()
                self._replace_worker(machine, down_s, keeps_id, step_s, silent_s)
            case events.WorkerFrozen(duration_s=duration_s):
                worker.freeze(duration_s)
            case events.WorkerLeaves(_, _, serves_s, down_s, sends_leave, keeps_id):
                worker.leave(serves_s, sends_leave)
                self._replace_after_end(machine, worker, down_s, keeps_id)
            case events.GrantsLate(_, _, duration_s, late_s, share):
                server.faulty_share = share
                fault = LateExecution(late_s)
                self._set(server, "next_grant_fault", fault, Prompt(), duration_s)
            case events.AnswersLost(_, _, duration_s, late_s):
                fault = NoAnswer() if late_s is None else LateAnswer(late_s)
                server.faulty_share = 1.0
                self._set(server, "next_grant_fault", fault, Prompt(), duration_s)
            case events.ReleasesLate(_, _, duration_s, late_s):
                fault = Ignored() if late_s is None else LateAnswer(late_s)
                self._set(server, "release_fault", fault, Prompt(), duration_s)
            case events.LinkCut(_, _, duration_s):
                link = network.link_to(machine.vm)
                link.cut_until = max(link.cut_until, fleet.loop.now + duration_s)
                machine.healed_at.append(link.cut_until)
            case events.ConnectionsSilent():
                network.silence(worker.process)
            case events.ConnectionsReset():
                network.reset(worker.process)
            case events.PortClosed(_, _, duration_s, resets_open):
                self._set(worker.listener, "is_closed", True, False, duration_s)
                if resets_open:
                    network.reset(worker.process)
            case events.ConnectionsLimited(_, _, duration_s, most):
                self._set(server, "max_connections", most, None, duration_s)
            case events.IdleClosed(_, _, duration_s, idle_s):
                self._set(server, "idle_timeout_s", idle_s, None, duration_s)
            case events.HeartbeatsLate(_, _, duration_s, late_s):
                self._set(machine, "heartbeat_late_s", late_s, 0.0, duration_s)
            case events.OddHeartbeat():
                machine.send_odd_heartbeat()

    def _replace_worker(
        self,
        machine: Machine,
        down_s: float | None,
        keeps_id: bool,
        step_s: float = 0.0,
        silent_s: float = 0.0,
    ) -> None:
        if down_s is None:
            return
        worker_id = machine.worker.worker.id if keeps_id else None
        when = self.fleet.loop.now + down_s
        self.fleet.at(when, machine.start_worker, worker_id, step_s, silent_s)

    def _replace_after_end(
        self, machine: Machine, worker, down_s: float | None, keeps_id: bool
    ) -> None:
        if machine.worker is not worker:
            return
        if not worker.is_up:
            self._replace_worker(machine, down_s, keeps_id)
            return
        self.fleet.at(
            self.fleet.loop.now + 0.01,
            self._replace_after_end,
            machine,
            worker,
            down_s,
            keeps_id,
        )

    def _begin_shared(self, event: events.Event) -> None:
        fleet = self.fleet
        store, now = fleet.store, fleet.loop.now
        match event:
            case events.StoreFault(_, node, duration_s, how, late_s):
                self._set_store_fault(node, _store_fault(how, late_s), duration_s)
            case events.WatchesLate(_, node, duration_s, late_s):
                client = store.client(fleet.machines[node].vm)
                self._set(client, "watch_lag_s", late_s, 0.0, duration_s)
            case events.StoreDown(_, duration_s, leases_pause):
                if not store.is_down:
                    store.leases_pause = leases_pause
                    store.go_down()
                    fleet.at(now + duration_s, store.come_back)
            case events.StoreRestored(_, _, down_s):
                if not store.is_down:
                    store.leases_pause = True
                    store.go_down()
                fleet.at(now + down_s, store.restore, self.copies[event])
            case events.EntryRemoved(_, node):
                store.revoke(f"sesamepost/nodes/{fleet.machines[node].vm}")
            case events.HistoryForgotten(_, cuts_watches):
                store.forget_history()
                if cuts_watches:
                    store.cut_watches()
            case events.KeysMoved():
                self._move(event)
            case events.PeersApart(_, duration_s):
                until = now + duration_s
                fleet.peers_apart_until = max(fleet.peers_apart_until, until)
            case events.LongRequests(_, duration_s, work_s):
                self._set(fleet, "work_s", work_s, WORK_S, duration_s)

    def _move(self, event: events.KeysMoved) -> None:
        machine = self.fleet.machines[event.node]
        node = machine.node
        if node is None or node.process.has_ended or node.ownership is None:
            return
        move = partial(self._move_at_node, event, node)
        self.fleet.loop.call_soon(move, context=node.process.context)

    def _move_at_node(self, event: events.KeysMoved, node) -> None:
        """Move keys as ``RangeBalancer`` does."""
        keeper = node.ownership.keepers.get(SERVICE)
        table = keeper and keeper.tables.table
        owner = keeper and keeper.owner
        if table is None or owner is None or keeper.is_leaving or keeper.moves:
            return
        target_vm = self.fleet.machines[event.target].vm
        targets = [o for o in keeper.other_owners() if o.vm == target_vm]
        ranges = [r for r in table.owned_by(keeper.vm) if r.owner == owner]
        if not targets or not ranges or not keeper.tables.mirror.in_contact:
            return
        r = ranges[int(event.begin * len(ranges))]
        size = max(1, int(r.size * event.part))
        first = r.first + int((r.size - size) * event.begin)
        keeper.move([Move(first, first + size - 1, targets[0])], "checker")

    def _set_store_fault(
        self, node: int, fault: store_client.Fault, duration_s: float
    ) -> None:
        machines = self.fleet.machines
        for machine in machines if node < 0 else [machines[node]]:
            client = self.fleet.store.client(machine.vm)
            self._set(client, "fault", fault, store_client.Reachable(), duration_s)

    def _set(self, target, name: str, value, normal, duration_s: float) -> None:
        """Set an attribute for a while, unless another fault sets it meanwhile."""
        setattr(target, name, value)
        key = id(target), name
        number = self.last_faults[key] = self.last_faults.get(key, 0) + 1
        when = self.fleet.loop.now + duration_s
        self.fleet.at(when, self._unset, target, name, normal, number)

    def _unset(self, target, name: str, normal, number: int) -> None:
        if self.last_faults[id(target), name] == number:
            setattr(target, name, normal)


def _store_fault(how: str, late_s: float) -> store_client.Fault:
    match how:
        case "refused":
            return store_client.Refused()
        case "rejecting":
            return store_client.Rejecting()
        case "silent":
            return store_client.Silent()
        case "answers lost":
            return store_client.AnswersLost()
        case "late":
            return store_client.LateExecution(late_s)
    return store_client.Reachable(SLOW_CALL_S, min(late_s, MAX_SLOW_ANSWER_S))
