"""Processes that are killed, frozen or stopped while callers send requests.

``sesamepost.tools.outage`` sends non-repeatable requests at a steady rate and compares
the answers with what the endpoints ran.
"""

import pytest

from sesamepost.tools.outage import measure

MAX_OUTAGE_S = 4.0
VMS = 5
KEYS = 20


async def run_event(name, base_port, *endpoint_options):
    report = await measure(name, VMS, KEYS, base_port, 7, endpoint_options)
    print(report.format_row())
    assert report.mismatches == 0
    assert report.duplicate_runs == 0
    assert report.false_not_runs == 0
    return report


@pytest.mark.parametrize(
    ("event", "base_port"),
    [("vm-killed", 25000), ("controller-killed", 25100), ("vm-frozen-10s", 25200)],
)
async def test_keys_are_served_again_after_a_loss(event, base_port):
    # Guards against an outage beyond the target, and against a frozen owner that runs
    # requests after it resumes, while there is a new owner.
    report = await run_event(event, base_port)
    assert report.worst_s < MAX_OUTAGE_S
    assert report.churn >= report.minimum_churn


@pytest.mark.parametrize(
    ("event", "base_port"),
    [("vm-frozen-10s", 25400), ("daemon-frozen-10s", 25500)],
)
async def test_an_endpoint_that_checks_no_fence_runs_nothing_after_a_freeze(
    event, base_port
):
    # Guards against requests that a resumed daemon or endpoint runs although its keys
    # have another owner. Without a fence, only the deadline on the shared clock
    # prevents this.
    report = await run_event(event, base_port, "--no-fenced", "--work-ms", "30")
    assert report.worst_s < MAX_OUTAGE_S


async def test_a_planned_stop_is_not_noticed_by_callers():
    # Guards against requests that are interrupted or refused during a deployment.
    report = await run_event("planned-stop", 25300)
    assert report.errors == {}
    assert report.churn == report.minimum_churn
