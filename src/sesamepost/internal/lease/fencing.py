"""The controller's side of a lease: when a node may be recorded as fenced."""

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

# A removed node whose witnesses cannot reach a majority is fenced on the operator's
# word if none of them refused after this many requests, sent every 0.5 s.
UNREFUSED_REQUESTS_BEFORE_REMOVAL = 4


@dataclass(frozen=True, slots=True)
class FenceDecision:
    """Fence ``node`` by a compare-and-swap that expects ``version`` of the fleet."""

    node: NodeId
    version: int


@dataclass(slots=True)
class Round:
    """One attempt to get promises from the witnesses named at ``version``."""

    version: int
    witness_sequence: int
    witnesses: tuple[NodeId, ...]
    requested_at: float = -math.inf
    unrefused_requests: int = 0
    promised: set[NodeId] = field(default_factory=set)

    def matches(self, record: NodeRecord) -> bool:
        """Return whether the record still names the witnesses of this round."""
        return (
            self.witness_sequence == record.witness_sequence
            and self.witnesses == record.witnesses
        )


class Fencing:
    """Collects suspicions and promises and decides which nodes to fence.

    A round belongs to the fleet version at which it started, and only answers for
    that version count. A later version with the same witness set keeps the round:
    promises are permanent, so they hold for that version as well. All decisions are
    for the newest version observed, so several nodes can be fenced in one write.
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
        self._rounds: dict[NodeId, Round] = {}
        self._joined_at: dict[NodeId, float] = {}
        self._removed: frozenset[str] = frozenset()

    def observe(self, fleet: Fleet, now: float) -> None:
        """Take over a newer fleet version, as read from the store."""
        if fleet.version <= self.fleet.version:
            return
        self.fleet = fleet
        records = {record.node: record for record in fleet.live_records()}
        self._joined_at = {r.node: self._joined_at.get(r.node, now) for r in fleet}
        self._rounds = {
            node: attempt
            for node, attempt in self._rounds.items()
            if node in records and attempt.matches(records[node])
        }
        self._suspects = {
            node: {w: at for w, at in reports.items() if w in records[node].witnesses}
            for node, reports in self._suspects.items()
            if node in records
        }

    def set_removed_vms(self, vms: Iterable[str]) -> None:
        """Set the VMs that the operators removed in the settings."""
        self._removed = frozenset(vms)

    def receive_suspect(self, message: Suspect, now: float) -> None:
        """Count a report from a witness that is named in the record."""
        record = self.fleet.live(message.node)
        if record is None or message.witness not in record.witnesses:
            return
        self._suspects.setdefault(message.node, {})[message.witness] = now

    def receive_promised(self, message: Promised) -> None:
        """Count a promise for the version of the running round."""
        attempt = self._round_of(message)
        if attempt is not None:
            attempt.promised.add(message.witness)

    def receive_refused(self, message: PromiseRefused) -> None:
        """Withdraw the suspicion of a witness that renews the node."""
        attempt = self._round_of(message)
        if attempt is None or message.witness in attempt.promised:
            return
        attempt.unrefused_requests = 0
        self._suspects.get(message.node, {}).pop(message.witness, None)

    def promises_due(self, now: float) -> list[Promise]:
        """Return the promises to ask for now; repeated until each is answered."""
        due = []
        for record in self.fleet.live_records():
            node = record.node
            is_quiet = node not in self._suspects and node not in self._rounds
            if not record.witnesses or (is_quiet and node.vm not in self._removed):
                continue
            if not self._is_suspected(record, now):
                self._rounds.pop(record.node, None)
                continue
            attempt = self._rounds.get(record.node)
            if attempt is None:
                attempt = self._rounds[record.node] = Round(
                    self.fleet.version, record.witness_sequence, record.witnesses
                )
            if now - attempt.requested_at < SUSPECT_INTERVAL_S:
                continue
            attempt.requested_at = now
            attempt.unrefused_requests += 1
            for witness in attempt.witnesses:
                if witness not in attempt.promised:
                    due.append(Promise(record.node, witness, attempt.version))
        return due

    def decisions(self, now: float) -> list[FenceDecision]:
        """Return the nodes that may be fenced at the newest version observed."""
        return [
            FenceDecision(record.node, self.fleet.version)
            for record in self.fleet.live_records()
            if self._may_fence(record, now)
        ]

    def _may_fence(self, record: NodeRecord, now: float) -> bool:
        removed = record.node.vm in self._removed
        if not record.witnesses:
            return removed or self._is_replaced(record, now)
        attempt = self._rounds.get(record.node)
        if attempt is None:
            return False
        if len(attempt.promised) >= majority(len(attempt.witnesses)):
            return True
        # The newest request has not had time to be answered.
        return (
            removed and attempt.unrefused_requests > UNREFUSED_REQUESTS_BEFORE_REMOVAL
        )

    def _is_replaced(self, record: NodeRecord, now: float) -> bool:
        """Return whether the VM joined again after this node.

        The new process holds the VM's peer port, which proves that the old one is
        gone. The wait lets the work of its endpoints end.
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
        attempt = self._rounds.get(record.node)
        if attempt is not None:
            suspecting |= attempt.promised
        return len(suspecting) >= majority(len(record.witnesses))

    def _round_of(self, message: Promised | PromiseRefused) -> Round | None:
        attempt = self._rounds.get(message.node)
        if attempt is None or attempt.version != message.fleet_version:
            return None
        return attempt if message.witness in attempt.witnesses else None
