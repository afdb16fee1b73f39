"""Orders to an endpoint that takes its keys by heartbeats, and what reports prove."""

import asyncio
from contextlib import suppress

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from sesamepost.internal.ranges.heartbeat_holds import (
    ANSWER_DELAY_S,
    ANSWER_TIMEOUT_S,
    MAX_MISSING_REPORTS,
    MAX_ORDER_BYTES,
    HeartbeatHolds,
    HeldRange,
    HoldOrder,
    HoldReport,
    OrderedRange,
    ReleasedRange,
)
from sesamepost.internal.ranges.holds import HOLD_S, TAKEOVER_SLACK_S, HoldTracker
from sesamepost.internal.ranges.table import KeyRange, Owner
from sesamepost.platform.control_plane import encode_order

OWNER = Owner("10.0.0.1", "i-1", 1)
RANGE = KeyRange(0, 99, OWNER, 7, "token")
SLOW_CLOCK = 1.02


def report(*held, released=(), follows_answer=True) -> HoldReport:
    return HoldReport(
        tuple(HeldRange(*row) for row in held),
        tuple(ReleasedRange(*row) for row in released),
        follows_answer,
    )


def tracker(*ranges: KeyRange) -> HoldTracker:
    holds = HoldTracker()
    holds.set_ranges(list(ranges) or [RANGE], 0.0)
    return holds


def give_order(exchange, holds, now, moving=(), renewed_at=None) -> HoldOrder | None:
    renewed_at = now if renewed_at is None else renewed_at
    return exchange.order(holds, moving, renewed_at + HOLD_S, now)


def test_an_ordered_range_is_used_once_the_answer_was_read():
    holds, exchange = tracker(), HeartbeatHolds()
    order = give_order(exchange, holds, 1.0)
    assert order.ranges == (OrderedRange(0, 99, 7, "token"),)
    assert not holds.may_run(5, 1.0)
    assert holds.may_run(5, 1.0 + ANSWER_DELAY_S)
    # The handover token is needed only until the endpoint holds the range.
    assert give_order(exchange, holds, 2.0).ranges == (OrderedRange(0, 99, 7, ""),)


def test_service_goes_on_while_two_answers_are_lost():
    # Guards against a gap in service whenever one heartbeat is late.
    holds, exchange = tracker(), HeartbeatHolds()
    give_order(exchange, holds, 0.0)
    for now in (0.5, 0.87, 1.74, 2.61):
        assert holds.may_run(5, now)


def test_no_answer_makes_a_hold_look_longer_than_the_endpoint_counts():
    # The hold runs from when the heartbeat was sent, up to a second before its answer.
    holds, exchange = tracker(), HeartbeatHolds()
    order = give_order(exchange, holds, 10.0)
    sent_at = 10.0 - ANSWER_TIMEOUT_S
    assert not holds.may_run(5, sent_at + order.hold_s)
    assert holds.possible_until(0, 99) >= 10.0 + order.hold_s * SLOW_CLOCK


@pytest.mark.parametrize("age_s", [0.0, 1.0, 2.5, 4.0])
def test_every_hold_ends_before_another_node_may_take_over(age_s):
    holds, exchange = tracker(), HeartbeatHolds()
    order = give_order(exchange, holds, 9.0, renewed_at=9.0 - age_s)
    assert 9.0 + order.hold_s * SLOW_CLOCK < 9.0 - age_s + HOLD_S + TAKEOVER_SLACK_S


def test_nothing_is_renewed_when_the_right_to_grant_has_almost_ended():
    assert give_order(HeartbeatHolds(), tracker(), 9.0, renewed_at=4.2) is None
    assert encode_order(None) == {}


def test_a_range_that_a_report_lacks_is_not_used_until_it_is_ordered_again():
    holds, exchange = tracker(), HeartbeatHolds()
    give_order(exchange, holds, 0.0)
    exchange.note_report(holds, report(), 0.9)
    assert not holds.may_run(5, 0.9)
    assert holds.possible_until(0, 99) == 0.9
    give_order(exchange, holds, 0.9)
    assert holds.may_run(5, 1.0)


def test_a_report_that_crossed_the_answer_proves_nothing():
    # Guards against a handover while the endpoint may still read the answer.
    holds, exchange = tracker(), HeartbeatHolds()
    give_order(exchange, holds, 0.0)
    bound = holds.possible_until(0, 99)
    exchange.note_report(holds, report(follows_answer=False), 0.1)
    assert holds.possible_until(0, 99) == bound
    assert holds.may_run(5, 0.2)


def test_a_range_that_is_never_taken_needs_a_higher_fence():
    holds, exchange = tracker(), HeartbeatHolds()
    for i in range(MAX_MISSING_REPORTS):
        give_order(exchange, holds, float(i))
        assert holds.refused() == []
        exchange.note_report(holds, report(), i + 0.9)
    assert holds.refused() == [RANGE]
    assert give_order(exchange, holds, 5.0).ranges == ()


def test_a_higher_fence_in_a_report_refuses_the_range_at_once():
    holds, exchange = tracker(), HeartbeatHolds()
    exchange.note_report(holds, report((50, 60, 9)), 0.0)
    assert holds.refused() == [RANGE]


def test_a_new_process_learns_the_holds_from_the_first_report():
    # Guards against waiting for the longest possible hold after each restart.
    holds, exchange = HoldTracker(HOLD_S, assumed_until=5.2), HeartbeatHolds()
    holds.set_ranges([RANGE], 0.0)
    exchange.note_report(holds, report((0, 99, 7)), 0.5)
    assert holds.possible_until(0, 99) > 0.5 + HOLD_S
    assert holds.possible_until(100, 200) == 0.0


def test_an_order_leaves_moving_keys_out_and_they_are_not_used():
    holds, exchange = tracker(), HeartbeatHolds()
    give_order(exchange, holds, 0.0)
    assert holds.may_run(20, 0.5)
    order = give_order(exchange, holds, 0.5, moving=[(10, 20), (90, 120)])
    assert [(r.first, r.last) for r in order.ranges] == [(0, 9), (21, 89)]
    assert not holds.may_run(20, 0.6)
    assert holds.may_run(21, 0.6)


async def start_release(exchange: HeartbeatHolds, first: int, last: int):
    task = asyncio.ensure_future(exchange.release(first, last))
    await asyncio.sleep(0)
    return task


async def test_a_release_ends_with_the_report_of_its_token():
    holds, exchange = tracker(), HeartbeatHolds()
    give_order(exchange, holds, 0.0)
    task = await start_release(exchange, 10, 20)
    exchange.note_report(holds, report((0, 99, 7)), 0.9)
    give_order(exchange, holds, 0.9, moving=[(10, 20)])
    still_working = report((0, 9, 7), (10, 20, 7), (21, 99, 7))
    exchange.note_report(holds, still_working, 1.0)
    await asyncio.sleep(0)
    assert not task.done()
    rest = ((0, 9, 7), (21, 99, 7))
    done = report(*rest, released=[(10, 20, "t")], follows_answer=False)
    exchange.note_report(holds, done, 1.1)
    exchange.note_report(holds, done, 1.2)
    assert await task == "t"
    assert not exchange.releases


async def test_a_report_from_before_the_order_ends_no_release():
    # Guards against two holders: the range was expired or not yet taken, and the answer
    # on its way orders it.
    holds, exchange = tracker(), HeartbeatHolds()
    task = await start_release(exchange, 0, 99)
    exchange.note_report(holds, report(), 0.5)
    await asyncio.sleep(0)
    assert not task.done()
    give_order(exchange, holds, 0.5, moving=[(0, 99)])
    exchange.note_report(holds, report(follows_answer=False), 0.6)
    await asyncio.sleep(0)
    assert not task.done()
    exchange.note_report(holds, report(), 1.4)
    assert await task == ""


async def test_a_cancelled_release_is_forgotten():
    exchange = HeartbeatHolds()
    task = await start_release(exchange, 0, 9)
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task
    assert not exchange.releases


def test_an_answer_stays_within_four_kibibytes_and_keeps_what_is_held():
    # Guards against answers that the endpoint ignores, and against a release of held
    # ranges in favour of new ones.
    ranges = [KeyRange(i * 9, i * 9 + 8, OWNER, 1 << 40, "t" * 16) for i in range(600)]
    holds, exchange = tracker(*ranges), HeartbeatHolds()
    first = give_order(exchange, holds, 0.0)
    second = give_order(exchange, holds, 0.9)
    for order in (first, second):
        encoded = str(encode_order(order)).replace(" ", "")
        assert len(encoded) <= MAX_ORDER_BYTES + 200 <= 4096
    assert {r.first for r in first.ranges} <= {r.first for r in second.ranges}
    assert exchange.left_out


class EndpointModel(RuleBasedStateMachine):
    """A node and an endpoint whose heartbeats and answers are lost or late.

    The endpoint takes an answer only if it arrives within ``ANSWER_TIMEOUT_S`` after
    its heartbeat, and sends one heartbeat at a time. The node must never believe that
    keys are free while the endpoint holds them.
    """

    @initialize()
    def start(self) -> None:
        """Begin with one range and no hold."""
        self.now = 100.0
        self.holds = tracker()
        self.exchange = HeartbeatHolds()
        self.held: dict[tuple[int, int], float] = {}
        self.moving: list[tuple[int, int]] = []

    @rule(elapsed=st.floats(0.05, 1.5))
    def wait(self, elapsed: float) -> None:
        """Let time pass; holds of the endpoint may end."""
        self.now += elapsed
        self.held = {r: end for r, end in self.held.items() if end > self.now}

    @rule(
        delay=st.floats(0.0, 1.4),
        answer_delay=st.floats(0.0, 1.2),
        is_lost=st.booleans(),
        renewed_ago=st.floats(0.0, 4.5),
    )
    def heartbeat(self, delay, answer_delay, is_lost, renewed_ago) -> None:
        """Send a heartbeat; its answer may come late or not at all."""
        sent_at = self.now
        rows = [(first, last, 7) for first, last in self.held]
        self.wait(delay)
        self.exchange.note_report(self.holds, report(*rows), self.now)
        renewed_at = self.now - renewed_ago
        order = give_order(self.exchange, self.holds, self.now, self.moving, renewed_at)
        self.wait(answer_delay)
        is_accepted = self.now - sent_at <= ANSWER_TIMEOUT_S and not is_lost
        if order is None or not is_accepted:
            return
        end = sent_at + order.hold_s * SLOW_CLOCK
        self.held = {(r.first, r.last): end for r in order.ranges if end > self.now}

    @precondition(lambda self: not self.moving)
    @rule(first=st.integers(0, 99), size=st.integers(1, 50))
    def move(self, first: int, size: int) -> None:
        """Begin to move some keys away."""
        self.moving = [(first, min(99, first + size - 1))]

    @rule()
    def end_move(self) -> None:
        """Abandon the move."""
        self.moving = []

    @invariant()
    def held_keys_are_believed_to_be_held(self) -> None:
        """No key that the endpoint holds is free for another owner."""
        for first, last in self.held:
            assert self.holds.possible_until(first, last) > self.now


TestEndpointModel = EndpointModel.TestCase
TestEndpointModel.settings = settings(max_examples=60, stateful_step_count=30)
