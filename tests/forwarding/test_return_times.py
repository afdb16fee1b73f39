"""When refused callers are told to return."""

from hypothesis import given
from hypothesis import strategies as st

from sesamepost.internal.forwarding.return_times import MAX_TARGETS, ReturnTimes


def served_at_pace(answers_per_s: int) -> ReturnTimes:
    times = ReturnTimes()
    for index in range(4 * answers_per_s):
        times.note_answer("s", index / answers_per_s)
    return times


def test_callers_who_are_refused_together_return_at_the_pace_of_answers():
    # The load: 30 callers are refused at once by a service that answers 50 a second.
    # Guards against a wave of returning callers that is refused again.
    times = served_at_pace(50)
    waits = sorted(times.next_wait_s("s", 0.3, 1.2, 4.0) for _ in range(30))
    assert waits[0] >= 0.3
    for index in range(1, 30):
        assert 0.015 <= waits[index] - waits[index - 1] <= 0.035


def test_more_callers_than_there_is_time_for_are_spread_over_that_time():
    # The load: five seconds of overload, 100 refused callers a second, 20 answers.
    # Guards against return times after the deadline, and against one common time.
    times = served_at_pace(20)
    returns = []
    for index in range(500):
        now = 4.0 + index / 100
        times.note_answer("s", now) if index % 5 == 0 else None
        returns.append(now + times.next_wait_s("s", 0.3, 1.0, now))
    for start in (5.0, 6.0, 7.0, 8.0):
        in_window = sum(start <= at < start + 0.2 for at in returns)
        assert in_window <= 2 * 100 * 0.2


def test_targets_do_not_share_times():
    times = ReturnTimes()
    assert times.next_wait_s("a", 0.3, 1.0, 0.0) == times.next_wait_s("b", 0.3, 1.0, 0)


def test_the_number_of_targets_is_bounded():
    times = ReturnTimes()
    for index in range(2 * MAX_TARGETS):
        times.note_answer(f"owner-{index}", 1.0)
    assert len(times.paces) == MAX_TARGETS


@given(st.lists(st.tuples(st.floats(0, 3), st.floats(0, 3), st.floats(0, 0.5))))
def test_no_caller_is_told_to_return_before_there_can_be_room(calls):
    times = ReturnTimes()
    now = 100.0
    for min_wait_s, max_wait_s, step_s in calls:
        now += step_s
        wait_s = times.next_wait_s("s", min_wait_s, max_wait_s, now)
        latest_s = max(max_wait_s, 1.3 * max(min_wait_s, 0.05))
        assert min_wait_s <= wait_s <= latest_s + 1e-9
