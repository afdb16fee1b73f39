"""Tests that a request with an idempotency key runs at most once."""

from dataclasses import replace

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from sesamepost.errors import ErrorKind
from sesamepost.internal.dispatch.born_token import issue_born_token
from sesamepost.internal.dispatch.records import (
    MAX_TOTAL_ANSWER_BYTES,
    DidNotRun,
    IdempotencyRecords,
    Join,
    OutcomeUnknown,
    Ran,
    RecordsRunningError,
    Refuse,
    Replay,
    Run,
    StoredAnswer,
    Submission,
)
from sesamepost.internal.identity import NodeId, hash_key
from sesamepost.internal.ownership.assignment import Placement
from sesamepost.internal.ownership.items import Item
from sesamepost.internal.wire.messages import decode, encode

ITEM = Item("booking", False, 3)
NODE = NodeId("vm-a", 1)
ANSWER = StoredAnswer(201, (("Content-Type", "text/plain"),), b"booked")
# The offset of the wall clock from the boot clock; it reveals a mix-up of the two.
UNIX_OFFSET_S = 1_700_000_000.0
DUPLICATE = Refuse(ErrorKind.DUPLICATE_UNKNOWN)


def submission(idempotency_key="i", born="", epoch=1, coverage_epoch=1):
    placement = Placement(NODE, ITEM.number, epoch, coverage_epoch)
    return Submission(ITEM, "k", hash_key("k"), idempotency_key, born, placement)


def begin(records, item, now):
    return records.begin(item, now, now + UNIX_OFFSET_S)


def token(version, now):
    return issue_born_token(version, now + UNIX_OFFSET_S)


def covered_records(limit=50_000):
    records = IdempotencyRecords(limit)
    records.begin_coverage(ITEM, 1, now=0.0)
    return records


def any_key(key_hash):
    return True


def move(source, target, epoch, now):
    """Move all records from ``source`` to ``target`` as encoded messages."""
    placement = Placement(NODE, ITEM.number, epoch, 1)
    parts = source.export(ITEM, placement, any_key, now)
    return all(target.import_records(decode(encode(part)), now) for part in parts)


def test_simultaneous_submissions_from_two_vms_run_once():
    # Guards against running a booking twice because the VMs of two callers forwarded it
    # at the same time.
    records = covered_records()
    first = begin(records, submission(), 1000.0)
    second = begin(records, submission(), 1000.0)
    assert isinstance(first, Run)
    assert isinstance(second, Join)
    received = []
    second.waiters.append(received.append)
    records.finish(first.record, Ran(ANSWER))
    assert received == [Replay(ANSWER)]
    assert begin(records, submission(), 1001.0) == Replay(ANSWER)


def test_a_request_that_did_not_run_leaves_no_record():
    # Guards against refusing a request for 660 s that the endpoint shed as not run.
    records = covered_records()
    first = begin(records, submission(), 1000.0)
    received = []
    begin(records, submission(), 1000.0).waiters.append(received.append)
    records.finish(first.record, DidNotRun(ErrorKind.ENDPOINT_REFUSED))
    assert received == [Refuse(ErrorKind.ENDPOINT_REFUSED)]
    assert isinstance(begin(records, submission(), 1001.0), Run)


@pytest.mark.parametrize(
    "run_result", [OutcomeUnknown(), Ran(StoredAnswer(200, (), bytes(16 * 1024 + 1)))]
)
def test_a_duplicate_without_a_stored_answer_is_refused(run_result):
    # Guards against a second run after the answer was lost or dropped.
    records = covered_records()
    first = begin(records, submission(), 1000.0)
    records.finish(first.record, run_result)
    assert begin(records, submission(), 1001.0) == DUPLICATE


def test_a_full_table_refuses_new_keys_and_keeps_its_records():
    # Guards against evicting a record, after which its request could run twice.
    records = covered_records(limit=2)
    running = begin(records, submission("a"), 1000.0)
    done = begin(records, submission("b"), 1000.0)
    records.finish(done.record, Ran(ANSWER))
    assert begin(records, submission("c"), 1001.0) == Refuse(ErrorKind.OVERLOADED)
    assert isinstance(begin(records, submission("a"), 1659.9), Join)
    assert begin(records, submission("b"), 1659.9) == Replay(ANSWER)
    assert isinstance(begin(records, submission("c"), 1660.0), Run)
    assert isinstance(begin(records, submission("a"), 1660.0), Join)
    records.finish(running.record, Ran(ANSWER))
    records.expire(1660.0)
    assert len(records) == 1


def test_requests_that_did_not_run_do_not_use_up_memory():
    # Guards against memory that grows with requests that leave no record.
    records = covered_records(limit=10)
    for number in range(1000):
        run = begin(records, submission(str(number)), 1000.0)
        records.finish(run.record, DidNotRun(ErrorKind.OVERLOADED))
    assert len(records.expiry_heap) <= 22


def test_a_resubmission_after_a_planned_move_gets_the_first_answer():
    # Guards against running a booking again because its key has moved.
    old, new = covered_records(), IdempotencyRecords()
    run = begin(old, submission(), 1000.0)
    with pytest.raises(RecordsRunningError):
        move(old, new, 1, 1000.0)
    old.finish(run.record, Ran(ANSWER))
    assert move(old, new, 1, 1100.0)
    assert begin(new, submission(epoch=2), 1101.0) == Replay(ANSWER)
    # Coverage keeps its age in the move, so a request without a token runs.
    assert isinstance(begin(new, submission("other", epoch=2), 1101.0), Run)
    # The record keeps its age, too.
    assert isinstance(begin(new, submission(epoch=2), 1660.0), Run)


def test_a_planned_move_without_all_records_counts_as_a_loss():
    # Guards against a new owner that considers an incomplete transfer complete.
    old = covered_records()
    for name in ("a", "b"):
        run = begin(old, submission(name), 1000.0)
        large_answer = StoredAnswer(200, (), bytes(16 * 1024))
        old.finish(run.record, Ran(large_answer))
    assert not move(old, IdempotencyRecords(limit=1), 1, 1100.0)
    for number in range(100):
        run = begin(old, submission(str(number)), 1000.0)
        old.finish(run.record, Ran(large_answer))
    parts = old.export(ITEM, submission().placement, any_key, 1100.0)
    assert len(parts) > 1
    new = IdempotencyRecords()
    assert not new.import_records(parts[1], 1100.0)
    assert begin(new, submission("a", epoch=2), 1101.0) == DUPLICATE
    early = submission("a", epoch=2, born=token(1, 1000.0))
    assert begin(new, early, 1101.0) == DUPLICATE


def test_the_records_and_coverage_of_a_hot_key_move_with_it():
    # Guards against a hot key whose records stay with its partition, and against an
    # owner that still claims coverage of an item after it has moved away.
    old, new = covered_records(), IdempotencyRecords()
    run = begin(old, submission(), 1000.0)
    old.finish(run.record, Ran(ANSWER))
    hot = Item(ITEM.service, True, hash_key("k"))
    placement = submission().placement
    parts = old.export(hot, placement, lambda h: h == hot.number, 1100.0)
    assert [len(part.records) for part in parts] == [1]
    assert new.import_records(decode(encode(parts[0])), 1100.0)
    moved = replace(submission(epoch=2), item=hot)
    assert begin(new, moved, 1101.0) == Replay(ANSWER)
    assert isinstance(begin(new, replace(moved, idempotency_key="j"), 1101.0), Run)
    new.forget(hot, any_key)
    assert len(new) == 1
    assert begin(new, replace(moved, idempotency_key="l"), 1102.0) == DUPLICATE
    assert begin(old, submission(), 1102.0) == Replay(ANSWER)


@pytest.mark.parametrize(
    ("born", "now", "expected"),
    [
        (token(4, 990.0), 1001.0, DUPLICATE),
        (token(5, 1000.5), 1001.0, Run),
        (token(5, 1000.5), 1601.0, DUPLICATE),
        (token(5, 1002.0), 1601.0, Run),
        (token(9, 1061.0), 1001.0, Run),
        (token(9, 1062.0), 1001.0, DUPLICATE),
        ("", 1001.0, DUPLICATE),
        ("", 1599.9, DUPLICATE),
        ("", 1600.0, Run),
        ("5", 1600.0, Refuse(ErrorKind.BAD_BORN_TOKEN)),
        ("5-\u0661", 1600.0, Refuse(ErrorKind.BAD_BORN_TOKEN)),
        ("-1-5", 1600.0, Refuse(ErrorKind.BAD_BORN_TOKEN)),
    ],
)
def test_after_an_unplanned_loss_only_a_proven_first_submission_runs(
    born, now, expected
):
    # Guards against a second run of a request that the lost owner had already run.
    records = IdempotencyRecords()
    records.begin_coverage(ITEM, 5, now=1000.0)
    request = submission(born=born, epoch=5, coverage_epoch=5)
    decision = begin(records, request, now)
    assert decision == expected or type(decision) is expected


def test_an_owner_without_known_coverage_assumes_a_loss():
    # Guards against trusting old records after an unplanned move back to this node.
    records = covered_records()
    request = submission(born=token(4, 990.0), epoch=5, coverage_epoch=5)
    assert begin(records, request, 1000.0) == DUPLICATE
    records.forget(ITEM, any_key)
    request = submission(born=token(8, 1999.0), epoch=9, coverage_epoch=5)
    assert begin(records, request, 2000.0) == DUPLICATE


REQUESTS = 3
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("wait"), st.sampled_from([1.0, 59.0, 299.0, 601.0])),
        st.tuples(
            st.just("submit"),
            st.integers(0, REQUESTS - 1),
            st.sampled_from([Ran(ANSWER), OutcomeUnknown(), DidNotRun("x")]),
        ),
        st.tuples(st.just("move"), st.booleans()),
        st.tuples(st.just("lose")),
    ),
    max_size=25,
)


@settings(derandomize=True, max_examples=400, deadline=None)
@example(
    steps=[("submit", 1, Ran(ANSWER)), ("wait", 601.0), ("submit", 1, Ran(ANSWER))],
    skews=(0, 60, 0),
)
@given(steps=STEPS, skews=st.tuples(*[st.sampled_from([-60, 0, 60])] * REQUESTS))
def test_no_sequence_of_moves_losses_and_waits_runs_a_request_twice(steps, skews):
    # Guards against gaps between the lifetimes of records, tokens and coverage. Request
    # 0 has no token and is resubmitted only within the 600 s that callers are allowed.
    owner, now, version, coverage_epoch = covered_records(), 1000.0, 1, 1
    born, first_submitted, runs = {0: ""}, {}, [0] * REQUESTS
    for step in steps:
        match step:
            case ["wait", seconds]:
                now += seconds
            case ["lose"]:
                version += 1
                coverage_epoch = version
                owner = IdempotencyRecords()
                owner.begin_coverage(ITEM, version, now)
            case ["move", whole]:
                target = IdempotencyRecords(50_000 if whole else 1)
                kept = move(owner, target, version, now)
                version += 1
                coverage_epoch = coverage_epoch if kept else version
                target.limit, owner = 50_000, target
            case ["submit", number, run_result]:
                if now - first_submitted.setdefault(number, now) > 600 and number == 0:
                    continue
                born.setdefault(number, token(version, now + skews[number]))
                request = submission(str(number), born[number], version, coverage_epoch)
                decision = begin(owner, request, now)
                if not isinstance(decision, Run):
                    continue
                owner.finish(decision.record, run_result)
                runs[number] += not isinstance(run_result, DidNotRun)
    assert max(runs) <= 1


def test_dropped_answers_are_not_rerun_and_stored_ones_stay_within_the_limit():
    # Guards against 50,000 answers of 16 KiB in memory, and against a second run of a
    # request whose answer was dropped to stay within the limit.
    records = covered_records()
    answer = StoredAnswer(200, (), b"x" * (15 << 10))
    count = 2 * MAX_TOTAL_ANSWER_BYTES // answer.size
    for number in range(count):
        run = begin(records, submission(f"i-{number}"), 1000.0)
        records.finish(run.record, Ran(answer))
    kept = [r.answer.size for r in records.records.values() if r.answer is not None]
    assert records.answer_bytes == sum(kept) <= MAX_TOTAL_ANSWER_BYTES
    assert begin(records, submission("i-0"), 1000.0) == DUPLICATE
    assert begin(records, submission(f"i-{count - 1}"), 1000.0) == Replay(answer)
