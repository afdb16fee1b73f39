"""Tests of the checks that the random failures use."""

import json
import random

import pytest

from tests.e2e.local import Reply
from tests.e2e.traffic import Run, Submission, Traffic, find_violations


def run(request_id, vm="vm-0", epoch=1, begin=1.0, end=2.0, fenced=True):
    return Run(vm, fenced, "k", request_id, epoch, begin, end)


def answer(request_id, key="k", replayed=False):
    headers = {"Sesamepost-Outcome": "ran"}
    if replayed:
        headers["Sesamepost-Replayed"] = "yes"
    body = json.dumps({"key": key, "request_id": request_id}).encode()
    return Reply(200, headers, body)


def refusal(kind, outcome):
    headers = {"Sesamepost-Error": kind, "Sesamepost-Outcome": outcome}
    return Reply(503, headers, b"")


def traffic_of(*submissions, group=False):
    traffic = Traffic(None, random.Random(0), list(submissions))
    if group:
        traffic.groups["i"] = list(submissions)
    return traffic


def test_correct_answers_and_moves_pass():
    # Guards against a check that reports allowed behaviour.
    first = Submission("a", "k", answer("a"))
    again = Submission("b", "k", answer("a", replayed=True))
    refused = Submission("c", "k", refusal("no_owner", "not-run"))
    traffic = traffic_of(first, again, group=True)
    traffic.submissions.append(refused)
    moved = run("d", vm="vm-1", epoch=2, begin=3.0, end=4.0)
    assert find_violations(traffic, [run("a"), moved]) == []


@pytest.mark.parametrize(
    ("traffic", "runs", "violation"),
    [
        (traffic_of(), [run("a"), run("a")], "a ran 2 times"),
        (
            traffic_of(Submission("a", "k", refusal("overloaded", "not-run"))),
            [run("a")],
            "says not run",
        ),
        (
            traffic_of(Submission("a", "k", answer("a", key="other"))),
            [run("a")],
            "the answer of key other",
        ),
        (
            traffic_of(Submission("a", "k", answer("b"))),
            [run("a"), run("b")],
            "a got the answer",
        ),
        (
            traffic_of(Submission("a", "k"), Submission("b", "k"), group=True),
            [run("a"), run("b", begin=3.0)],
            "idempotency key i ran 2 times",
        ),
        (
            traffic_of(Submission("a", "k", refusal("internal", "unknown"))),
            [],
            "internal error",
        ),
        (traffic_of(), [run("a"), run("b", vm="vm-1", begin=3.0)], "two owners"),
        (
            traffic_of(),
            [run("a", epoch=2), run("b", vm="vm-1", begin=3.0)],
            "two owners",
        ),
        (
            traffic_of(),
            [run("a", fenced=False), run("b", vm="vm-1", epoch=2, begin=1.5)],
            "work overlaps",
        ),
    ],
)
def test_each_violation_is_reported(traffic, runs, violation):
    # Guards against a check that passes regardless of what the endpoints did.
    assert any(violation in item for item in find_violations(traffic, runs))
