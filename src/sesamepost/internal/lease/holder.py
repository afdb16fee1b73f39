"""The holder side of the lease protocol: how long this node may serve."""

import math
from dataclasses import dataclass, field

from sesamepost.internal.identity import NodeId
from sesamepost.internal.lease.messages import (
    REFUSED_NOT_RECORDED,
    Renew,
    Renewed,
    RenewRefused,
)
from sesamepost.internal.lease.timing import (
    HOLDER_TTL_S,
    RENEW_INTERVAL_S,
    REPLACE_WITNESS_AFTER_S,
    majority,
)
from sesamepost.internal.membership.fleet import Fleet, NodeState

# A longer gap between calls of ``renewals_due`` is taken for a pause of the process.
MIN_PAUSE_S = 1.0


@dataclass(frozen=True, slots=True)
class Proposal:
    """A numbered witness set; the controller records the highest number it receives."""

    sequence: int
    witnesses: tuple[NodeId, ...]


@dataclass(slots=True)
class WitnessState:
    """The holder's state of one witness.

    ``sent`` maps the sequence numbers of unanswered renewals to the times at which they
    were sent. ``waiting_since`` is the time of the first renewal since the last answer.
    ``lost`` is set when the witness can never renew this incarnation again.
    """

    expiry: float = -math.inf
    last_sent_at: float = -math.inf
    waiting_since: float | None = None
    lost: bool = False
    sent: dict[int, float] = field(default_factory=dict)


class LeaseHolder:
    """Determines whether this node's lease is valid.

    The lease needs a majority of the recorded witness set and of each set proposed
    later, because any of them may be the recorded set when the node is fenced.
    """

    __slots__ = (
        "_last_call_at",
        "_renewals",
        "fenced",
        "fleet_version",
        "last_sequence",
        "node",
        "prepared",
        "proposals",
        "recorded",
        "resigned",
        "states",
    )

    def __init__(self, node: NodeId) -> None:
        self.node = node
        self.fenced = False
        self.resigned = False
        self.fleet_version = 0
        self.recorded: Proposal | None = None
        self.proposals: list[Proposal] = []
        self.last_sequence = 0
        self.prepared: tuple[NodeId, ...] = ()
        self.states: dict[NodeId, WitnessState] = {}
        self._renewals = 0
        self._last_call_at = -math.inf

    def prepare(self, witnesses: tuple[NodeId, ...]) -> None:
        """Start renewing at a set before it is proposed, without requiring it yet.

        The lease requires a set from the moment it is proposed, and would be invalid
        until a majority of the new witnesses has answered.
        """
        self.prepared = tuple(witnesses)
        self._update_states()

    def is_prepared(self, now: float) -> bool:
        """Return whether the renewals by all prepared witnesses are still valid."""
        if not self.prepared:
            return False
        return all(now < self.states[witness].expiry for witness in self.prepared)

    def is_majority_prepared(self, now: float) -> bool:
        """Return whether the prepared set would keep the lease valid if proposed."""
        return bool(self.prepared) and now < self._set_valid_until(self.prepared)

    def propose(self, witnesses: tuple[NodeId, ...]) -> Proposal:
        """Return a numbered proposal, which the lease requires from now on.

        Call it before the first ``Join`` or ``ChangeWitnesses`` with this set is sent.
        A proposal may be sent repeatedly. If the newest open proposal has the same set,
        it is returned again.
        """
        if self.proposals and self.proposals[-1].witnesses == tuple(witnesses):
            return self.proposals[-1]
        if self.node in witnesses or len(set(witnesses)) != len(witnesses):
            raise ValueError(
                f"witnesses of {self.node} must be distinct other nodes: {witnesses}"
            )
        self.last_sequence += 1
        self.prepared = ()
        proposal = Proposal(self.last_sequence, tuple(witnesses))
        self.proposals.append(proposal)
        self._update_states()
        return proposal

    def resign(self) -> None:
        """Give up the lease permanently, before requesting to be fenced."""
        self.resigned = True

    def observe(self, fleet: Fleet) -> None:
        """Apply the recorded witness set of a newer fleet version."""
        if fleet.version <= self.fleet_version:
            return
        self.fleet_version = fleet.version
        record = fleet.get(self.node)
        if record is None:
            # Only fenced nodes are removed from the fleet document.
            self.fenced = self.fenced or self.recorded is not None
            return
        if record.state is NodeState.FENCED:
            self.fenced = True
        self.recorded = Proposal(record.witness_sequence, record.witnesses)
        self.proposals = [
            proposal
            for proposal in self.proposals
            if proposal.sequence > record.witness_sequence
        ]
        self._update_states()

    def wanted_set(self) -> Proposal | None:
        """Return the newest open proposal, or the recorded set if there is none."""
        return self.proposals[-1] if self.proposals else self.recorded

    def renewals_due(self, now: float, digest: bytes) -> list[Renew]:
        """Return the renewals to send now.

        An answered renewal extends the lease by a period that starts at ``now``.
        """
        if now - self._last_call_at > MIN_PAUSE_S:
            self._restart_response_timers(now)
        self._last_call_at = now
        if self.fenced or self.resigned:
            return []
        due = []
        for witness, state in self.states.items():
            if now - state.last_sent_at < RENEW_INTERVAL_S:
                continue
            self._renewals += 1
            state.last_sent_at = now
            state.sent = {
                sequence: sent_at
                for sequence, sent_at in state.sent.items()
                if now < sent_at + HOLDER_TTL_S
            }
            state.sent[self._renewals] = now
            if state.waiting_since is None:
                state.waiting_since = now
            due.append(Renew(self.node, witness, self._renewals, digest))
        return due

    def unanswered_for(self, now: float, age_s: float) -> list[NodeId]:
        """Return the witnesses that have not answered for at least ``age_s``."""
        return [
            witness
            for witness, state in self.states.items()
            if state.waiting_since is not None and now - state.waiting_since >= age_s
        ]

    def renew_soon(self, witness: NodeId) -> None:
        """Make the next call of ``renewals_due`` include this witness."""
        state = self.states.get(witness)
        if state is not None:
            state.last_sent_at = -math.inf

    def receive_renewed(self, message: Renewed) -> None:
        """Extend the expiry, counted from the time at which the renewal was sent."""
        state = self.states.get(message.witness)
        if state is None or message.holder != self.node:
            return
        sent_at = state.sent.pop(message.sequence, None)
        if sent_at is None:
            return
        state.expiry = max(state.expiry, sent_at + HOLDER_TTL_S)
        state.waiting_since = None

    def receive_refused(self, message: RenewRefused) -> None:
        """Mark the witness as lost if its refusal is permanent."""
        state = self.states.get(message.witness)
        if state is None or message.holder != self.node:
            return
        if message.reason != REFUSED_NOT_RECORDED:
            state.lost = True

    def valid_until(self) -> float:
        """Return when the lease expires; ``math.inf`` if there are no witnesses."""
        if self.fenced or self.resigned or self.recorded is None:
            return -math.inf
        return min(
            self._set_valid_until(required.witnesses)
            for required in (self.recorded, *self.proposals)
        )

    def is_valid(self, now: float) -> bool:
        """Return whether a request may be dispatched at ``now``."""
        return now < self.valid_until()

    def witnesses_to_replace(self, now: float) -> tuple[NodeId, ...]:
        """Return the witnesses of the wanted set that are lost or unresponsive."""
        wanted = self.wanted_set()
        if wanted is None:
            return ()
        return tuple(
            w for w in wanted.witnesses if self._needs_replacement(self.states[w], now)
        )

    def _set_valid_until(self, witnesses: tuple[NodeId, ...]) -> float:
        if not witnesses:
            return math.inf
        expiries = sorted((self.states[w].expiry for w in witnesses), reverse=True)
        return expiries[majority(len(witnesses)) - 1]

    def _needs_replacement(self, state: WitnessState, now: float) -> bool:
        if state.lost:
            return True
        if state.waiting_since is None:
            return False
        return now - state.waiting_since >= REPLACE_WITNESS_AFTER_S

    def _restart_response_timers(self, now: float) -> None:
        """Restart the response timers after a pause, as answers may be unread."""
        for state in self.states.values():
            if state.waiting_since is not None:
                state.waiting_since = now

    def _update_states(self) -> None:
        """Keep state for exactly the witnesses of the sets in use."""
        sets = [proposal.witnesses for proposal in self.proposals]
        if self.recorded is not None:
            sets.append(self.recorded.witnesses)
        sets.append(self.prepared)
        needed = {witness: None for witnesses in sets for witness in witnesses}
        self.states = {w: self.states.get(w) or WitnessState() for w in needed}
