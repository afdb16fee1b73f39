"""The grants that are due, and what the tracker concludes from their results."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sesamepost.internal.ranges.holds import HOLD_S, TAKEOVER_SLACK_S, HoldTracker
from sesamepost.internal.ranges.table import KeyRange, Owner

OWNER = Owner("10.0.0.1", "i-1", 1)
RANGE = KeyRange(0, 99, OWNER, 7, "token")
SLOW_CLOCK = 1.02


def send_and_accept_grant(holds: HoldTracker, now: float, may_grant_until: float):
    (command,) = holds.due_grants(may_grant_until, now)
    holds.note_sent(command, now)
    holds.note_granted(command, now)
    return command


def test_a_request_runs_only_after_the_grant_was_answered():
    holds = HoldTracker()
    holds.set_ranges([RANGE], 0.0)
    assert not holds.may_run(5, 0.0)
    (command,) = holds.due_grants(HOLD_S, 0.0)
    holds.note_sent(command, 0.0)
    assert not holds.may_run(5, 0.1)
    holds.note_granted(command, 0.0)
    assert holds.may_run(5, 0.1)
    assert not holds.may_run(100, 0.1)


@given(st.floats(0, 100), st.floats(0.0, HOLD_S), st.floats(0.0, HOLD_S))
def test_every_hold_ends_before_another_node_may_take_over(renewed_at, delay, stop_s):
    # Guards against two holders of a key: the endpoint's clock may run two percent
    # slow, the entry of this node may disappear right after its renewal, and the node
    # may stand still before it sends the grant.
    holds = HoldTracker()
    now = renewed_at + delay
    holds.set_ranges([RANGE], now)
    for command in holds.due_grants(renewed_at + HOLD_S, now):
        sent_at = now + stop_s
        hold_end = sent_at + command.hold_s_at(sent_at) * SLOW_CLOCK
        assert hold_end < renewed_at + HOLD_S + TAKEOVER_SLACK_S
        holds.note_sent(command, now)
        assert hold_end <= holds.possible_until(0, 99)


def test_no_grant_is_sent_when_the_right_to_grant_has_almost_ended():
    holds = HoldTracker()
    holds.set_ranges([RANGE], 0.0)
    assert holds.due_grants(0.2, 0.0) == []


def test_a_hold_is_renewed_only_when_a_part_of_it_has_passed():
    # Guards against a command to the endpoint at every check.
    holds = HoldTracker()
    holds.set_ranges([RANGE], 0.0)
    send_and_accept_grant(holds, 0.0, HOLD_S)
    assert holds.due_grants(0.5 + HOLD_S, 0.5) == []
    assert len(holds.due_grants(3.0 + HOLD_S, 3.0)) == 1


def test_a_released_range_is_not_granted_again():
    holds = HoldTracker()
    holds.set_ranges([RANGE], 0.0)
    send_and_accept_grant(holds, 0.0, HOLD_S)
    holds.start_release(10, 20)
    assert holds.due_grants(3.0 + HOLD_S, 3.0) == []
    assert not holds.may_run(5, 0.1)


def test_a_fence_that_was_refused_is_never_sent_again():
    # Guards against repeating commands that a higher fence of another node made void.
    holds = HoldTracker()
    holds.set_ranges([RANGE], 0.0)
    (command,) = holds.due_grants(HOLD_S, 0.0)
    holds.note_sent(command, 0.0)
    holds.note_refused(command)
    assert holds.due_grants(9.0, 4.0) == []
    assert holds.refused() == [RANGE]
    raised = KeyRange(0, 99, OWNER, 9)
    holds.set_ranges([raised], 4.0)
    assert [c.key_range for c in holds.due_grants(9.0, 4.0)] == [raised]


def test_a_part_of_a_split_range_keeps_its_hold():
    # Guards against requests that wait for a new grant after a part has moved.
    holds = HoldTracker()
    holds.set_ranges([RANGE], 0.0)
    send_and_accept_grant(holds, 0.0, HOLD_S)
    holds.set_ranges([KeyRange(0, 49, OWNER, 7, "token")], 0.1)
    assert holds.may_run(10, 0.2)
    assert not holds.may_run(60, 0.2)


def test_an_unanswered_grant_keeps_the_range_until_its_hold_has_ended():
    # Guards against a handover while the endpoint may still execute a late grant.
    holds = HoldTracker()
    holds.set_ranges([RANGE], 0.0)
    (command,) = holds.due_grants(HOLD_S, 0.0)
    holds.note_sent(command, 0.0)
    holds.note_unanswered(command, 0.0)
    holds.set_ranges([], 0.5)
    assert holds.unanswered_until(0, 99) == pytest.approx(holds.possible_until(0, 99))
    assert holds.possible_until(0, 99) >= command.hold_s_at(0.0) * SLOW_CLOCK
    assert holds.possible_until(100, 200) == 0.0


def test_an_answer_to_a_later_grant_does_not_clear_an_unanswered_one():
    # Guards against a late grant that takes effect after a later release.
    holds = HoldTracker()
    holds.set_ranges([RANGE], 0.0)
    (unanswered,) = holds.due_grants(HOLD_S, 0.0)
    holds.note_sent(unanswered, 0.0)
    holds.note_unanswered(unanswered, 0.0)
    (answered,) = holds.due_grants(1.0 + HOLD_S, 1.0)
    holds.note_sent(answered, 1.0)
    holds.note_granted(answered, 1.0)
    assert holds.unanswered_until(0, 99) >= unanswered.hold_s_at(0.0) * SLOW_CLOCK


def test_a_new_process_assumes_grants_of_the_previous_process():
    # Guards against a handover while a grant of a killed process is still in force.
    holds = HoldTracker(HOLD_S, assumed_until=12.0)
    assert holds.possible_until(0, 99) == 12.0
    holds.set_ranges([RANGE], 10.0)
    assert holds.possible_until(0, 99) == 12.0
