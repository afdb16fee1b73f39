"""The controller side of the lease protocol: when a node may be fenced."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from sesamepost.internal.identity import NodeId
from sesamepost.internal.lease.messages import (
    Promise,
    Promised,
    PromiseRefused,
    Suspect,
)
from sesamepost.internal.lease.timing import (
    SUSPECT_INTERVAL_S,
    SUSPICION_TTL_S,
    WITNESS_TTL_S,
    majority,
)
from sesamepost.internal.membership.fleet import Fleet, NodeRecord

# A node whose VM the operator removed is fenced without a majority of promises after
# this many requests in a row, sent every 0.5 s, that no witness has refused.
UNREFUSED_REQUESTS_BEFORE_FENCING = 4


@dataclass(frozen=True, slots=True)
class FenceDecision:
    """Fence ``node`` by a compare-and-swap that expects fleet version ``version``."""

    node: NodeId
    version: int


@dataclass(slots=True)
class PromiseRound:
    """The collection of promises from the witnesses recorded at ``version``.

    ``unrefused_requests`` counts the requests sent since the last refusal.
    """

    version: int
    witness_sequence: int
    witnesses: tuple[NodeId, ...]
    requested_at: float = -math.inf
    unrefused_requests: int = 0
    promised: set[NodeId] = field(default_factory=set)

    def matches(self, record: NodeRecord) -> bool:
        """Return whether the record still has the witness set of this round."""
        return (
            self.witness_sequence == record.witness_sequence
            and self.witnesses == record.witnesses
        )


class Fencing:
    """Collects suspicions and promises and decides which nodes to fence.

    A round belongs to the fleet version at which it started, and only answers for that
    version count. It continues in a later version with the same witness set, because
    promises are permanent. All decisions expect the newest version observed, so several
    nodes can be fenced in one write.
    """

    __slots__ = (
        "_joined_at",
        "_removed",
        "_rounds",
        "_suspects",
        "fleet",
    )

    def __init__(self) -> None:
        self.fleet = Fleet()
        self._suspects: dict[NodeId, dict[NodeId, float]] = {}
        self._rounds: dict[NodeId, PromiseRound] = {}
        self._joined_at: dict[NodeId, float] = {}
        self._removed: frozenset[str] = frozenset()

    def observe(self, fleet: Fleet, now: float) -> None:
        """Apply a newer fleet version that was read from the store."""
        if fleet.version <= self.fleet.version:
            return
        self.fleet = fleet
        records = {record.node: record for record in fleet.live_records()}
        self._joined_at = {r.node: self._joined_at.get(r.node, now) for r in fleet}
        self._rounds = {
            node: promise_round
            for node, promise_round in self._rounds.items()
            if node in records and promise_round.matches(records[node])
        }
        self._suspects = {
            node: {w: at for w, at in reports.items() if w in records[node].witnesses}
            for node, reports in self._suspects.items()
            if node in records
        }

    def set_removed_vms(self, vms: Iterable[str]) -> None:
        """Set the VMs that the settings list as removed by the operators."""
        self._removed = frozenset(vms)

    def receive_suspect(self, message: Suspect, now: float) -> None:
        """Record a suspicion if it comes from a witness of the node."""
        record = self.fleet.live(message.node)
        if record is None or message.witness not in record.witnesses:
            return
        self._suspects.setdefault(message.node, {})[message.witness] = now

    def receive_promised(self, message: Promised) -> None:
        """Record a promise made for the version of the current round."""
        promise_round = self._round_of(message)
        if promise_round is not None:
            promise_round.promised.add(message.witness)

    def receive_refused(self, message: PromiseRefused) -> None:
        """Withdraw the suspicion of a witness that refuses the promise."""
        promise_round = self._round_of(message)
        if promise_round is None or message.witness in promise_round.promised:
            return
        promise_round.unrefused_requests = 0
        self._suspects.get(message.node, {}).pop(message.witness, None)

    def promises_due(self, now: float) -> list[Promise]:
        """Return the promises to request now; each is repeated until it is made."""
        due = []
        for record in self.fleet.live_records():
            node = record.node
            is_quiet = node not in self._suspects and node not in self._rounds
            if not record.witnesses or (is_quiet and node.vm not in self._removed):
                continue
            if not self._is_suspected(record, now):
                self._rounds.pop(record.node, None)
                continue
            promise_round = self._rounds.get(record.node)
            if promise_round is None:
                promise_round = self._rounds[record.node] = PromiseRound(
                    self.fleet.version, record.witness_sequence, record.witnesses
                )
            if now - promise_round.requested_at < SUSPECT_INTERVAL_S:
                continue
            promise_round.requested_at = now
            promise_round.unrefused_requests += 1
            for witness in promise_round.witnesses:
                if witness not in promise_round.promised:
                    due.append(Promise(record.node, witness, promise_round.version))
        return due

    def decisions(self, now: float) -> list[FenceDecision]:
        """Return the nodes that may be fenced at the newest fleet version observed."""
        return [
            FenceDecision(record.node, self.fleet.version)
            for record in self.fleet.live_records()
            if self._may_fence(record, now)
        ]

    def _may_fence(self, record: NodeRecord, now: float) -> bool:
        removed = record.node.vm in self._removed
        if not record.witnesses:
            return removed or self._is_replaced(record, now)
        promise_round = self._rounds.get(record.node)
        if promise_round is None:
            return False
        if len(promise_round.promised) >= majority(len(promise_round.witnesses)):
            return True
        # The last request is not counted, as its answers may still be in flight.
        return (
            removed
            and promise_round.unrefused_requests > UNREFUSED_REQUESTS_BEFORE_FENCING
        )

    def _is_replaced(self, record: NodeRecord, now: float) -> bool:
        """Return whether a later incarnation of the VM has joined the fleet.

        The new process owns the VM's peer port, which proves that the old process has
        ended. ``WITNESS_TTL_S`` must pass after the join, so that the work of the old
        endpoints can finish.
        """
        is_later = False
        for other in self.fleet:
            if other.node == record.node:
                is_later = True
            elif is_later and other.node.vm == record.node.vm:
                return now - self._joined_at[other.node] >= WITNESS_TTL_S
        return False

    def _is_suspected(self, record: NodeRecord, now: float) -> bool:
        if record.node.vm in self._removed:
            return True
        reports = self._suspects.get(record.node, {})
        suspecting = {w for w, at in reports.items() if now - at < SUSPICION_TTL_S}
        promise_round = self._rounds.get(record.node)
        if promise_round is not None:
            suspecting |= promise_round.promised
        return len(suspecting) >= majority(len(record.witnesses))

    def _round_of(self, message: Promised | PromiseRefused) -> PromiseRound | None:
        promise_round = self._rounds.get(message.node)
        if promise_round is None or promise_round.version != message.fleet_version:
            return None
        return promise_round if message.witness in promise_round.witnesses else None
