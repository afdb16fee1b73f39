"""Short soak runs: one fixed seed and every seed that has failed before."""

import pytest

from tests.soak.lives import LIFE_FAULTS
from tests.soak.soak import run_seed, schedule

SHORT_S = 5.0
RESTORE_SEED = 4
# Seed and duration in seconds of each run, with the cause of its past failure.
REGRESSION_SEEDS = [
    pytest.param(1, SHORT_S, id="short"),
    # A renewal reached a new incarnation of a worker with the previous one's fence.
    pytest.param(14, 12.0, id="old-fence"),
    # The same over a connection that was opened within 0.25 s of a heartbeat.
    pytest.param(129, 12.0, id="old-fence-new-connection"),
]


@pytest.mark.parametrize(("seed", "seconds"), REGRESSION_SEEDS)
async def test_no_promise_is_broken_under_random_faults(seed, seconds, tmp_path):
    problems, outcomes = await run_seed(seed, tmp_path, seconds=seconds)
    assert problems == []
    assert any(outcome.status == 200 for outcome in outcomes)


HEARTBEAT_SEEDS = [
    pytest.param(2, 6.0, id="short"),
    # A worker left with the first heartbeat that a new process of its node received.
    pytest.param(319, 12.0, id="leaves-after-restart"),
]


@pytest.mark.parametrize(("seed", "seconds"), HEARTBEAT_SEEDS)
async def test_no_promise_is_broken_where_keys_are_given_by_heartbeats(
    seed, seconds, tmp_path
):
    problems, outcomes = await run_seed(seed, tmp_path, 4, seconds, by_heartbeat=True)
    assert problems == []
    assert any(outcome.status == 200 for outcome in outcomes)


LIFE_SEEDS = [
    # Silent connections stood for a worker that had ended.
    pytest.param(10, 12.0, id="silent-connections"),
    # A heartbeat that had been queued at a paused node stood for its sender.
    pytest.param(9, 12.0, id="paused-node"),
]


@pytest.mark.parametrize(("seed", "seconds"), LIFE_SEEDS)
async def test_no_promise_is_broken_while_workers_are_replaced(seed, seconds, tmp_path):
    problems, outcomes = await run_seed(seed, tmp_path, seconds=seconds, lives=True)
    assert problems == []
    assert any(outcome.status == 200 for outcome in outcomes)


@pytest.mark.parametrize("by_heartbeat", [False, True])
async def test_no_promise_is_broken_when_the_store_comes_back_older(
    by_heartbeat, tmp_path
):
    # Guards against two holders and old fences, with all parts of real processes.
    problems, outcomes = await run_seed(
        RESTORE_SEED, tmp_path, 4, 8.0, by_heartbeat, restores=True
    )
    assert problems == []
    assert any(outcome.status == 200 for outcome in outcomes)


def test_a_seed_determines_the_faults():
    # Guards against regression seeds that no longer reproduce their faults.
    assert schedule(7, 12.0) == schedule(7, 12.0)
    assert schedule(7, 12.0) != schedule(8, 12.0)


def test_the_faults_around_lives_leave_the_schedules_of_older_seeds_unchanged():
    # Guards against regression seeds that change when faults are added for --lives.
    planned = [item.fault.__name__ for item in schedule(14, 12.0)]
    assert planned == [
        "change_settings",
        "fail_store",
        "terminate",
        "change_settings",
        "terminate",
        "fail_store",
        "fail_store",
        "restart_worker",
    ]
    names = {item.fault.__name__ for item in schedule(14, 12.0, LIFE_FAULTS)}
    assert names != set(planned)
    assert schedule(7, 12.0, LIFE_FAULTS) == schedule(7, 12.0, LIFE_FAULTS)
