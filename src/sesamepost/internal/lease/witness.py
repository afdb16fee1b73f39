"""The witness's side of a lease: renewals, suspicion and promises."""

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
    """One holder's expiry on this witness's clock.

    ``is_assigned`` tells whether the newest fleet version names this witness for it.
    """

    expiry: float
    is_assigned: bool = False
    promised: bool = False
    suspected_at: float = -math.inf


class Witness:
    """Renews holders and promises not to renew those whose expiry has passed.

    It renews only nodes that are live in its newest fleet version. Therefore it may
    forget its promise against a node once it has seen it fenced or absent.
    """

    __slots__ = ("fleet", "holders", "node")

    def __init__(self, node: NodeId) -> None:
        self.node = node
        self.fleet = Fleet()
        self.holders: dict[NodeId, TrackedHolder] = {}

    def observe(self, fleet: Fleet, now: float) -> None:
        """Track the holders that a newer fleet version assigns to this witness.

        A node that dies before its first renewal must be suspected too, so its expiry
        counts from the moment at which it is first seen here.
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
        """Answer a renewal that was received at ``now``."""
        holder, witness, sequence = message.holder, message.witness, message.sequence
        if witness != self.node:
            # The named incarnation is gone, and with it any promise that it made.
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
        """Return the reports to send to the controller now."""
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
        """Promise only after the expiry; the promise holds for this incarnation."""
        answer = (message.node, message.witness, message.fleet_version)
        tracked = self.holders.get(message.node)
        if message.witness != self.node or tracked is None or now < tracked.expiry:
            return PromiseRefused(*answer)
        tracked.promised = True
        return Promised(*answer)
