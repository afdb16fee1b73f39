"""A range goes to another owner only on a proof that its hold has ended."""

import asyncio

import pytest
from structlog.testing import capture_logs

from sesamepost.internal.clock import boottime
from sesamepost.internal.ranges.hold_ends import (
    HoldEnds,
    HoldExpired,
    ProcessEnded,
    ReleaseAnswered,
    ReportedFree,
    free_from,
    handover_token,
)
from sesamepost.internal.ranges.holds import HoldTracker

WAIT_S = 0.3


@pytest.mark.parametrize(
    ("end", "free_at", "token", "proof"),
    [
        (ReleaseAnswered("t", 7.5), 7.5, "t", "token"),
        (ReleaseAnswered("", 7.5), 7.5, "", "token"),
        (ReportedFree("t"), 0.0, "t", "token"),
        (ReportedFree(""), 0.0, "", "report"),
        (HoldExpired(7.5), 7.5, "", "hold_ended"),
        (ProcessEnded(), 0.0, "", "endpoint_gone"),
    ],
)
def test_each_proof_counts_from_its_time_and_is_named_in_the_log(
    end, free_at, token, proof
):
    # Guards against a proof that counts too early, such as a token while an unanswered
    # grant may still be executed.
    assert free_from(end) == free_at
    assert handover_token(end) == token
    with capture_logs() as logs:
        HoldEnds().log_released(HoldTracker(), 0, 9, end, boottime())
    assert [line["proof"] for line in logs] == [proof]


@pytest.mark.parametrize("end_type", [HoldExpired, lambda at: ReleaseAnswered("t", at)])
async def test_keys_wait_for_the_time_from_which_a_proof_counts(end_type):
    # Guards against OWNER: keys that go on while the endpoint may hold them.
    start = boottime()
    end = end_type(start + WAIT_S)
    await HoldEnds().wait_until_free(HoldTracker(), 0, 9, end, start)
    assert boottime() >= start + WAIT_S


async def test_the_end_of_the_process_frees_keys_whose_hold_has_not_expired():
    # Guards against keys of a crashed endpoint that wait for the longest hold.
    ends, start = HoldEnds(), boottime()
    holds = HoldTracker(assumed_until=start + 60.0)
    end = HoldExpired(holds.possible_until(0, 9))
    with capture_logs() as logs:
        wait = asyncio.ensure_future(ends.wait_until_free(holds, 0, 9, end, start))
        await asyncio.sleep(0.05)
        assert not wait.done()
        ends.has_process_ended = True
        async with asyncio.timeout(10.0):
            assert await wait == ""
    assert [line["proof"] for line in logs] == ["endpoint_gone"]


@pytest.mark.parametrize("has_process_ended", [False, True])
def test_the_next_incarnation_is_assumed_to_hold_what_the_former_one_may_hold(
    has_process_ended,
):
    # Guards against OWNER: a heartbeat of another writer is taken for the end of the
    # endpoint, whose holds then count no longer.
    ends = HoldEnds()
    ends.has_process_ended = has_process_ended
    until = 0.0 if has_process_ended else 12.0
    assert ends.assumed_until(HoldTracker(assumed_until=12.0)) == until


def test_an_expired_hold_that_has_become_longer_is_logged_without_a_proof():
    # Guards against a log line that names a proof where there was none.
    holds = HoldTracker(assumed_until=boottime() + 60.0)
    with capture_logs() as logs:
        HoldEnds().log_released(holds, 0, 9, HoldExpired(0.0), boottime())
    assert [line["proof"] for line in logs] == [None]
