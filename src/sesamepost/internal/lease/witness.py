"""The witness side of the lease protocol: renewals, suspicions and promises."""

import math
from dataclasses import dataclass

from sesamepost.internal.identity import NodeId
from sesamepost.internal.lease.messages import (
    REFUSED_NOT_RECORDED,
    REFUSED_OTHER_INCARNATION,
    REFUSED_PROMISED,
    Promise,
    Promised,
    PromiseRefused,
    Renew,
    Renewed,
    RenewRefused,
    Suspect,
)
from sesamepost.internal.lease.timing import SUSPECT_INTERVAL_S, WITNESS_TTL_S
from sesamepost.internal.membership.fleet import Fleet


@dataclass(slots=True)
class TrackedHolder:
    """The state of one holder, with its lease expiry on this witness's clock.

    ``is_assigned`` is true while the newest fleet version lists this witness for the
    holder.
    """

    expiry: float
    is_assigned: bool = False
    promised: bool = False
    suspected_at: float = -math.inf


class Witness:
    """Renews the leases of holders, and promises not to renew expired ones again.

    It renews only nodes that are live in the newest fleet version that it has read. It
    can therefore discard its promise about a node once that node is fenced or absent.
    """

    __slots__ = ("fleet", "holders", "node")

    def __init__(self, node: NodeId) -> None:
        self.node = node
        self.fleet = Fleet()
        self.holders: dict[NodeId, TrackedHolder] = {}

    def observe(self, fleet: Fleet, now: float) -> None:
        """Track the holders that a newer fleet version assigns to this witness.

        The expiry of a new holder counts from this call, so that a node that dies
        before its first renewal is suspected as well.
        """
        if fleet.version <= self.fleet.version:
            return
        self.fleet = fleet
        self.holders = {
            node: tracked
            for node, tracked in self.holders.items()
            if fleet.live(node) is not None
        }
        for record in fleet.live_records():
            tracked = self.holders.get(record.node)
            if self.node not in record.witnesses:
                if tracked is not None:
                    tracked.is_assigned = False
                continue
            if tracked is None:
                tracked = self.holders[record.node] = TrackedHolder(now + WITNESS_TTL_S)
            elif not tracked.is_assigned:
                tracked.expiry = max(tracked.expiry, now + WITNESS_TTL_S)
            tracked.is_assigned = True

    def receive_renew(
        self, message: Renew, digest: bytes, now: float
    ) -> Renewed | RenewRefused:
        """Return the answer to a renewal received at ``now``."""
        holder, witness, sequence = message.holder, message.witness, message.sequence
        if witness != self.node:
            # The incarnation addressed has ended, and its promises are lost.
            return RenewRefused(holder, witness, sequence, REFUSED_OTHER_INCARNATION)
        if self.fleet.live(holder) is None:
            return RenewRefused(holder, witness, sequence, REFUSED_NOT_RECORDED)
        tracked = self.holders.get(holder)
        if tracked is None:
            tracked = self.holders[holder] = TrackedHolder(-math.inf)
        if tracked.promised:
            return RenewRefused(holder, witness, sequence, REFUSED_PROMISED)
        tracked.expiry = max(tracked.expiry, now + WITNESS_TTL_S)
        return Renewed(holder, witness, sequence, digest)

    def suspects_due(self, now: float) -> list[Suspect]:
        """Return the suspicions to report to the controller now."""
        due = []
        for node, tracked in self.holders.items():
            if not tracked.is_assigned or now < tracked.expiry:
                continue
            if now - tracked.suspected_at < SUSPECT_INTERVAL_S:
                continue
            tracked.suspected_at = now
            due.append(Suspect(node, self.node))
        return due

    def receive_promise(
        self, message: Promise, now: float
    ) -> Promised | PromiseRefused:
        """Promise never to renew a node again if its lease has expired here.

        The promise covers only this incarnation of the node.
        """
        answer = (message.node, message.witness, message.fleet_version)
        tracked = self.holders.get(message.node)
        if message.witness != self.node or tracked is None or now < tracked.expiry:
            return PromiseRefused(*answer)
        tracked.promised = True
        return Promised(*answer)
