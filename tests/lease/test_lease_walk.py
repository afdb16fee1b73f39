"""Exhaustive state-space search: no order of messages leaves a fenced node valid.

The holder, the four possible witnesses and the fencing controller are the real classes.
Sending to any subset of the witnesses, late answers, promises, proposals, reads and
writes are steps that occur in every order or not at all, which models a loss. Time
advances in steps that are longer than a lease.

Three simplifications limit the number of states. A renewal reaches its witness at once
or never, because a late one makes the witness wait longer. Each witness reads a fleet
version at once, because an older version makes it refuse. A promise is requested and
answered in one step, because a lost answer only prevents the controller from fencing.
"""

import copy
import itertools
import math
from collections import deque
from dataclasses import dataclass, replace

import pytest

from sesamepost.internal.identity import NodeId
from sesamepost.internal.lease.fencing import Fencing
from sesamepost.internal.lease.holder import LeaseHolder, WitnessState
from sesamepost.internal.lease.messages import (
    Promised,
    Renewed,
    Suspect,
)
from sesamepost.internal.lease.witness import TrackedHolder, Witness
from sesamepost.internal.membership.fleet import Fleet, NodeRecord
from sesamepost.internal.wire.pool import Address

STEP_S = 2.0
H = NodeId("h", 1)
W = tuple(NodeId(f"w{i}", 1) for i in (1, 2, 3, 4))
FIRST_SET = (W[0], W[1], W[2])
OTHER_SET = (W[0], W[1], W[3])


@dataclass
class SystemState:
    """One state of the system; steps replace the parts that they change.

    ``answers`` holds the send time of the late answers in flight and these answers.
    """

    holder: LeaseHolder
    witnesses: tuple
    fencing: Fencing
    stored: Fleet
    now: float = 0.0
    answers: tuple = (0.0, [])
    unwritten: tuple = ()
    restarts: int = 0

    @property
    def fenced(self):
        return self.stored.live(H) is None

    def key(self):
        """Return a key that identifies equal states; W1 and W2 are interchangeable."""
        first, second, *rest = (self.witness_key(i) for i in range(4))
        promise_round = self.fencing._rounds.get(H)
        controller = (
            self.fencing.fleet.version,
            promise_round and promise_round.version,
        )
        return (
            *sorted((first, second)),
            *rest,
            self.now,
            self.answers[0],
            self.holder.fleet_version,
            self.holder.last_sequence,
            not self.fenced and controller,
            self.stored.version,
            self.fenced,
            self.stored.get(H).witness_sequence,
            tuple(proposal.sequence for proposal in self.unwritten),
            self.restarts,
        )

    def witness_key(self, i):
        witness = W[i]
        tracked = self.witnesses[i].holders.get(H)
        state = self.holder.states.get(witness)
        promise_round = self.fencing._rounds.get(H)
        late = any(answer.witness == witness for answer in self.answers[1])
        return (
            self.witnesses[i].node.incarnation,
            tracked is not None and 1 + (tracked.expiry > self.now),
            tracked is not None and tracked.promised,
            -1.0 if state is None else max(0.0, state.expiry - self.now),
            state is not None and state.last_sent_at == self.now,
            late,
            not self.fenced
            and promise_round is not None
            and witness in promise_round.promised,
        )


def clone_holder(holder):
    result = copy.copy(holder)
    result.proposals = list(holder.proposals)
    result.states = {
        w: WitnessState(s.expiry, s.last_sent_at, s.waiting_since, s.lost, dict(s.sent))
        for w, s in holder.states.items()
    }
    return result


def clone_witness(witness):
    result = Witness(witness.node)
    result.fleet = witness.fleet
    result.holders = {
        n: TrackedHolder(t.expiry, t.is_assigned, t.promised, t.suspected_at)
        for n, t in witness.holders.items()
    }
    return result


def clone_fencing(fencing):
    result = copy.copy(fencing)
    result._suspects = {n: dict(found) for n, found in fencing._suspects.items()}
    result._rounds = {
        n: replace(promise_round, promised=set(promise_round.promised))
        for n, promise_round in fencing._rounds.items()
    }
    return result


def replace_at(values, index, value):
    return (*values[:index], value, *values[index + 1 :])


def write_fleet(state, fleet):
    """Return the state after a write, with the new version read by all witnesses."""
    stored = Fleet(state.stored.version + 1, fleet)
    witnesses = tuple(map(clone_witness, state.witnesses))
    for witness in witnesses:
        witness.observe(stored, state.now)
    return replace(state, stored=stored, witnesses=witnesses)


def initial_state():
    holder = LeaseHolder(H)
    first = holder.propose(FIRST_SET)
    record = NodeRecord(H, Address("h", 1), "a1", "a", first.witnesses, first.sequence)
    state = SystemState(holder, tuple(map(Witness, W)), Fencing(), Fleet())
    state = write_fleet(state, [record])
    holder.observe(state.stored)
    state.fencing.observe(state.stored, state.now)
    return state


def send_renewals(state, end):
    """Send renewals to any subset of the witnesses.

    Answers are delivered at once or, if all witnesses were reached, in a later step.
    """
    sender = clone_holder(state.holder)
    due = sender.renewals_due(state.now, b"")
    for reached in itertools.product((False, True), repeat=len(due)) if due else ():
        witnesses, answers = state.witnesses, []
        for renew in itertools.compress(due, reached):
            i = W.index(renew.witness)
            witness = clone_witness(witnesses[i])
            answers.append(witness.receive_renew(renew, b"", state.now))
            witnesses = replace_at(witnesses, i, witness)
        after = replace(state, witnesses=witnesses, holder=clone_holder(sender))
        name = f"send to {[r.witness.vm for r in itertools.compress(due, reached)]}"
        if all(reached) and state.now < end:
            yield f"{name}, late", replace(after, answers=(state.now, answers))
        deliver(after.holder, answers)
        yield name, after


def deliver_late_answers(state):
    sent_at, answers = state.answers
    if answers and sent_at < state.now:
        holder = clone_holder(state.holder)
        deliver(holder, answers)
        yield "late answers", replace(state, holder=holder, answers=(0.0, []))


def deliver(holder, answers):
    for answer in answers:
        if isinstance(answer, Renewed):
            holder.receive_renewed(answer)


def change_witnesses(state, proposals):
    made = state.holder.last_sequence - 1
    if made < len(proposals):
        holder = clone_holder(state.holder)
        proposal = holder.propose(proposals[made])
        unwritten = (*state.unwritten, proposal)
        yield "propose", replace(state, holder=holder, unwritten=unwritten)
    for proposal in state.unwritten:
        changed = state.stored.change_witnesses(
            H, proposal.sequence, proposal.witnesses
        )
        left = tuple(p for p in state.unwritten if p is not proposal)
        after = replace(state, unwritten=left)
        if changed is not state.stored:
            yield f"write proposal {proposal.sequence}", write_fleet(after, changed)
    if state.holder.fleet_version < state.stored.version:
        holder = clone_holder(state.holder)
        holder.observe(state.stored)
        yield "holder reads", replace(state, holder=holder)


def fence(state):
    if state.fenced:
        return
    if state.fencing.fleet.version < state.stored.version:
        fencing = clone_fencing(state.fencing)
        fencing.observe(state.stored, state.now)
        yield "controller reads", replace(state, fencing=fencing)
    yield from request_promises(state)
    for decision in state.fencing.decisions(state.now):
        if decision.version == state.stored.version:
            yield "write fencing", write_fleet(state, state.stored.fence(H, 1))


def request_promises(state):
    asking = clone_fencing(state.fencing)
    for witness in state.witnesses:
        tracked = witness.holders.get(H)
        if tracked is not None and tracked.is_assigned and state.now >= tracked.expiry:
            asking.receive_suspect(Suspect(H, witness.node), state.now)
    for promise in asking.promises_due(state.now):
        i = W.index(promise.witness)
        fencing, witness = clone_fencing(asking), clone_witness(state.witnesses[i])
        answer = witness.receive_promise(promise, state.now)
        if isinstance(answer, Promised):
            fencing.receive_promised(answer)
        else:
            fencing.receive_refused(answer)
        # The next request may follow at once, so the request time is not part of the
        # state.
        fencing._suspects.clear()
        if H in fencing._rounds:
            fencing._rounds[H].requested_at = -math.inf
        witnesses = replace_at(state.witnesses, i, witness)
        yield (
            f"promise of {W[i].vm}",
            replace(state, fencing=fencing, witnesses=witnesses),
        )


def restart(state):
    for i, old in enumerate(state.witnesses):
        witness = Witness(NodeId(old.node.vm, 2))
        witness.observe(state.stored, state.now)
        yield (
            f"restart of {old.node.vm}",
            replace(
                state,
                witnesses=replace_at(state.witnesses, i, witness),
                restarts=state.restarts - 1,
            ),
        )


def steps(state, proposals, end):
    yield from send_renewals(state, end)
    yield from deliver_late_answers(state)
    yield from change_witnesses(state, proposals)
    yield from fence(state)
    if state.restarts:
        yield from restart(state)
    if state.now < end:
        yield "wait", replace(state, now=state.now + STEP_S)


def explore(proposals, restarts, end):
    """Visit each reachable state; return their number and the names of the steps."""
    first = replace(initial_state(), restarts=restarts)
    came_from = {first.key(): None}
    queue = deque([first])
    taken = set()
    while queue:
        state = queue.popleft()
        key = state.key()
        for name, after in steps(state, proposals, end):
            taken.add(name)
            reached = after.key()
            if reached in came_from:
                continue
            came_from[reached] = (key, name)
            if after.fenced and after.holder.is_valid(after.now):
                pytest.fail(f"fenced but valid after {path(came_from, reached)}")
            queue.append(after)
    return len(came_from), taken


def path(came_from, key):
    names = []
    while came_from[key] is not None:
        key, name = came_from[key]
        names.append(name)
    return ", ".join(reversed(names))


@pytest.mark.parametrize(
    ("proposals", "restarts", "end", "min_states"),
    [
        ((OTHER_SET, FIRST_SET), 0, STEP_S, 20_000),
        ((OTHER_SET,), 0, 2 * STEP_S, 8_000),
        ((OTHER_SET,), 1, STEP_S, 10_000),
        ((), 2, 2 * STEP_S, 2_000),
    ],
    ids=["two changes", "one change", "change and restart", "restarts"],
)
def test_no_order_of_messages_makes_a_fenced_node_valid(
    proposals, restarts, end, min_states
):
    count, taken = explore(proposals, restarts, end)
    assert "write fencing" in taken
    assert count > min_states, "too few states were explored to prove anything"
