"""A small case of the ownership rules, walked whole, and in random orders."""

import pytest

from sesamepost.internal.ranges import takeover
from sesamepost.internal.ranges.fence_groups import FenceGroups
from sesamepost.internal.ranges.grant_right import GrantRight
from sesamepost.internal.ranges.holds import HOLD_S, GrantCommand, HoldTracker
from tests.checker.walk import play, stroll, walk

WALK_S = 20.0
# Printed beside the depth that is reached, which depends on the machine's load.
WANTED_DEPTH = 8
SEED = 1
ORDERS = 400
LENGTH = 40
# A fault that is put back is found within this many random orders.
FAULT_ORDERS = 20_000


def test_no_order_of_a_small_case_breaks_ownership(capsys) -> None:
    """Guards against holds of two workers at once, and fences that do not rise."""
    found = walk(WALK_S, WANTED_DEPTH)
    with capsys.disabled():
        print(
            f"\n{found.states} states, all orders of {found.depth} events; "
            f"{WANTED_DEPTH} are wanted"
        )
    assert not found.problem, found.trace


def test_no_random_order_of_a_small_case_breaks_ownership() -> None:
    """Guards against the same faults in orders too long to be walked whole."""
    found = stroll(SEED, ORDERS, LENGTH)
    assert not found.problem, found.trace


def _put_back(patch: pytest.MonkeyPatch, fault: str) -> None:
    """Put a fault of the former code back."""
    match fault:
        case "fence used by two lives":
            patch.setattr(FenceGroups, "claim", lambda self, fence, group: True)
        case "fences of the former process used again":
            patch.setattr(FenceGroups, "note_inherited", lambda self, fences: None)
        case "grant from a table older than the lease":
            patch.setattr(GrantRight, "covers", lambda self, key_range: True)
        case "takeover before the longest hold has ended":
            patch.setattr(takeover, "HOLD_S", 1.0)
        case "release undone by an unanswered grant":
            patch.setattr(HoldTracker, "unanswered_until", lambda self, *keys: 0.0)
        case "length of a grant from when it was planned":
            patch.setattr(GrantCommand, "hold_s_at", lambda self, now: HOLD_S - 0.3)
        case "move given up beside an unanswered write":
            patch.setattr(HoldTracker, "require_higher_fence", lambda self, *keys: None)


@pytest.mark.parametrize(
    "fault",
    [
        "fence used by two lives",
        "fences of the former process used again",
        "takeover before the longest hold has ended",
        "move given up beside an unanswered write",
    ],
)
def test_random_orders_find_a_fault_that_is_put_back(monkeypatch, fault) -> None:
    """Guards against events that can't show a fault that callers have seen."""
    _put_back(monkeypatch, fault)
    assert stroll(SEED, FAULT_ORDERS, LENGTH).problem


TRACES = {
    "grant from a table older than the lease": [
        "node 0 grants 0",
        "entry 0 is removed",
        "node 1 reads the store",
        "time passes",
        "time passes",
        "node 1 takes the ranges of 0",
        "node 1 renews its lease",
        "node 1 grants 0",
        "node 0 renews its lease",
        "node 0 registers",
        "node 0 grants 0",
    ],
    "release undone by an unanswered grant": [
        "node 0 grants 0",
        "time passes",
        "node 0 renews its lease",
        "node 0 plans a grant of 0",
        "node 0 sends the grant of 0",
        "grant of 0 by 0 is late",
        "node 0 decides to move 0",
        "node 0 releases 0",
        "node 0 writes the move of 0",
        "node 1 renews its lease",
        "node 1 reads the store",
        "node 1 grants 0",
        "late grant 0 is carried out",
    ],
    "length of a grant from when it was planned": [
        "node 0 plans a grant of 0",
        "time passes",
        "node 0 sends the grant of 0",
        "grant of 0 by 0 is answered",
        "time passes",
        "node 1 renews its lease",
        "node 0 decides to move 0",
        "node 0 releases 0, call lost",
        "node 0 writes the move of 0",
        "node 1 reads the store",
        "node 1 grants 0",
    ],
}


@pytest.mark.parametrize("fault", TRACES)
def test_an_order_shows_a_fault_only_if_it_is_put_back(monkeypatch, fault) -> None:
    """Guards against the order of events in which callers have seen the fault."""
    assert not play(TRACES[fault]).problem
    _put_back(monkeypatch, fault)
    assert play(TRACES[fault]).problem
