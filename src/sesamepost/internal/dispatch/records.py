"""Idempotency records, which limit each idempotency key to at most one run.

The owner of a key adds a record before it dispatches a request with an idempotency key.
A resubmission finds that record. If there is none, the owner knows whether its absence
proves that the request never ran. See section 6 of ``docs/design.md``.
"""

import heapq
import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from sesamepost.errors import ErrorKind
from sesamepost.internal.dispatch.born_token import (
    parse_born_token,
    proves_first_submission,
)
from sesamepost.internal.ownership.assignment import Placement
from sesamepost.internal.ownership.items import Item
from sesamepost.internal.ownership.messages import Records

# A token is valid for 600 s and the clocks of two VMs may differ by 60 s.
RECORD_LIFETIME_S = 660.0
MIN_COVERAGE_S = 600.0
MAX_RECORDS = 50_000
MAX_ANSWER_BYTES = 16 << 10
# 50,000 answers of 16 KiB would take 800 MB, so the oldest answers are dropped.
MAX_TOTAL_ANSWER_BYTES = 16 << 20
# Messages may have up to 9 MiB; smaller parts delay other traffic on the stream less.
MAX_PART_BYTES = 1 << 20
_RECORD_OVERHEAD_BYTES = 64


class RecordState(IntEnum):
    """The state of a record; the numbers are part of the ``Records`` message."""

    RUNNING = 0
    ANSWERED = 1
    ANSWER_DROPPED = 2
    UNKNOWN = 3


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """An endpoint's answer; ``headers`` is a sequence of pairs of strings."""

    status: int
    headers: tuple
    body: bytes

    @property
    def size(self) -> int:
        """The total size of body and headers in bytes."""
        return len(self.body) + sum(len(n) + len(v) for n, v in self.headers)


@dataclass(frozen=True, slots=True)
class Submission:
    """A request with an idempotency key; ``born`` is "" if it has no token."""

    item: Item
    key: str
    key_hash: int
    idempotency_key: str
    born: str
    placement: Placement

    @property
    def record_key(self) -> "RecordKey":
        """The key of the record of this request."""
        return RecordKey(self.item.service, self.key, self.idempotency_key)


class RecordKey(NamedTuple):
    """The key under which a record is stored."""

    service: str
    key: str
    idempotency_key: str


@dataclass(frozen=True, slots=True)
class Run:
    """The request must be dispatched.

    ``finish`` must be called with ``record`` however the dispatch ends, because a
    running record is never removed.
    """

    record: RecordKey


@dataclass(frozen=True, slots=True)
class Replay:
    """The request has already run, with this answer."""

    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request must not be dispatched."""

    kind: ErrorKind


Waiter = Callable[[Replay | Refuse], None]


@dataclass(frozen=True, slots=True)
class Join:
    """The request is running; a callback appended to ``waiters`` gets its result.

    If the request turns out not to have run, the waiters get a refusal whose outcome is
    "not run", and each may begin again.
    """

    waiters: list[Waiter]


Decision = Run | Join | Replay | Refuse


@dataclass(frozen=True, slots=True)
class Ran:
    """The endpoint ran the request and answered."""

    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class DidNotRun:
    """No byte reached the endpoint, or it stated that it did not run the request."""

    kind: ErrorKind


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The request may have run."""


RunResult = Ran | DidNotRun | OutcomeUnknown


class RecordsRunningError(Exception):
    """Raised by an export of records while a request of the item is in flight."""


@dataclass(slots=True)
class Record:
    """One idempotency record; ``created`` is in seconds on ``CLOCK_BOOTTIME``."""

    key_hash: int
    created: float
    state: RecordState = RecordState.RUNNING
    answer: StoredAnswer | None = None
    waiters: list[Waiter] = field(default_factory=list)


class Coverage(NamedTuple):
    """The document version and time since which an item's records are complete."""

    epoch: int
    started_at: float


class IdempotencyRecords:
    """The idempotency records of one daemon.

    ``now`` is in seconds on ``CLOCK_BOOTTIME``, ``unix_now`` on the wall clock. The
    latter is used only to check the age of ``Sesamepost-Born`` tokens, which other
    daemons may have issued.
    """

    def __init__(self, limit: int = MAX_RECORDS) -> None:
        if limit < 1:
            raise ValueError(f"limit must be at least 1, got {limit}")
        self.limit = limit
        self.records: dict[RecordKey, Record] = {}
        self.answered: deque[tuple[RecordKey, Record]] = deque()
        self.answer_bytes = 0
        self.coverages: dict[Item, Coverage] = {}
        self.expiry_heap: list[tuple[float, int, RecordKey, Record]] = []
        self.tie_breaker = itertools.count()
        self.next_parts: dict[Item, tuple[int, int]] = {}

    def __len__(self) -> int:
        return len(self.records)

    def begin_coverage(self, item: Item, coverage_epoch: int, now: float) -> None:
        """Note that the records of ``item`` are complete since ``now``.

        Must be called when an assignment first names this node as the owner under
        ``coverage_epoch``, in which earlier records were lost. ``now`` is ``-math.inf``
        for an item whose records were never lost.
        """
        known = self.coverages.get(item)
        if known is None or known.epoch < coverage_epoch:
            self.coverages[item] = Coverage(coverage_epoch, now)

    def begin(self, submission: Submission, now: float, unix_now: float) -> Decision:
        """Decide how to handle a request that this daemon has the right to serve."""
        self.expire(now)
        record_key = submission.record_key
        record = self.records.get(record_key)
        if record is not None:
            return _decision_for(record)
        coverage = self._coverage_of(submission.item, submission.placement, now)
        refusal = _first_submission_refusal(submission.born, coverage, now, unix_now)
        if refusal is not None:
            return Refuse(refusal)
        if len(self.records) >= self.limit:
            return Refuse(ErrorKind.OVERLOADED)
        self._add(record_key, Record(submission.key_hash, now))
        return Run(record_key)

    def finish(self, record_key: RecordKey, run_result: RunResult) -> None:
        """Finish a running record and pass the result to its waiters."""
        record = self.records[record_key]
        if record.state is not RecordState.RUNNING:
            raise ValueError(f"the record of {record_key} is already finished")
        match run_result:
            case Ran(answer):
                decision = Replay(answer)
                if answer.size <= MAX_ANSWER_BYTES:
                    record.state = RecordState.ANSWERED
                    record.answer = answer
                    self._retain_answer(record_key, record)
                else:
                    record.state = RecordState.ANSWER_DROPPED
            case DidNotRun(kind):
                decision = Refuse(kind)
                self._remove(record_key)
            case OutcomeUnknown():
                decision = Refuse(ErrorKind.DUPLICATE_UNKNOWN)
                record.state = RecordState.UNKNOWN
        waiters, record.waiters = record.waiters, []
        for waiter in waiters:
            waiter(decision)

    def expire(self, now: float) -> None:
        """Remove records that are older than ``RECORD_LIFETIME_S`` and not running."""
        running = []
        while self.expiry_heap and now - self.expiry_heap[0][0] >= RECORD_LIFETIME_S:
            entry = heapq.heappop(self.expiry_heap)
            _, _, record_key, record = entry
            if self.records.get(record_key) is not record:
                continue
            if record.state is RecordState.RUNNING:
                running.append(entry)
                continue
            self._remove(record_key)
        for entry in running:
            heapq.heappush(self.expiry_heap, entry)

    def export(
        self,
        item: Item,
        placement: Placement,
        includes: Callable[[int], bool],
        now: float,
    ) -> list[Records]:
        """Return the records of the keys whose hash ``includes`` accepts, in parts.

        The records are kept, since the move may not happen; ``forget`` removes them.
        Raises ``RecordsRunningError`` if one of them is running.
        """
        self.expire(now)
        coverage = self._coverage_to_export(item, placement, now)
        parts: list[list] = [[]]
        size = 0
        for record_key, record in self.records.items():
            if record_key.service != item.service or not includes(record.key_hash):
                continue
            if record.state is RecordState.RUNNING:
                raise RecordsRunningError(f"a request of {item} is in flight")
            record_size = _encoded_size(record_key, record)
            if parts[-1] and size + record_size > MAX_PART_BYTES:
                parts.append([])
                size = 0
            parts[-1].append(_to_array(record_key, record, now))
            size += record_size
        return [
            Records(
                *item,
                placement.epoch,
                coverage.epoch,
                now - coverage.started_at,
                number,
                len(parts),
                tuple(part),
            )
            for number, part in enumerate(parts)
        ]

    def import_records(self, part: Records, now: float) -> bool:
        """Add one part of the records of an item that moves to this daemon.

        Parts must arrive in order. Returns False if an earlier part is missing or the
        limit would be exceeded; the move then counts as one that lost the records.
        """
        self.expire(now)
        item = Item(part.service, part.is_key, part.item)
        expected = 0
        if part.part > 0:
            epoch, expected = self.next_parts.get(item, (part.epoch, 0))
            expected = expected if epoch == part.epoch else 0
        incoming = dict(_from_array(item.service, array, now) for array in part.records)
        available = self.limit - len(self.records)
        if (
            part.part != expected
            or len(incoming.keys() - self.records.keys()) > available
        ):
            self.next_parts.pop(item, None)
            return False
        for record_key, record in incoming.items():
            known = self.records.get(record_key)
            if known is None or known.state is not RecordState.RUNNING:
                self._add(record_key, record)
        if part.part + 1 < part.parts:
            self.next_parts[item] = (part.epoch, part.part + 1)
            return True
        self.next_parts.pop(item, None)
        known = self.coverages.get(item)
        if known is None or known.epoch <= part.coverage_epoch:
            self.coverages[item] = Coverage(
                part.coverage_epoch, now - part.coverage_age_s
            )
        return True

    def forget(self, item: Item, includes: Callable[[int], bool]) -> None:
        """Remove the coverage and records of an item that another node now owns.

        Must be called as soon as an assignment names the other owner. Otherwise this
        daemon would consider its records complete if it became the owner again.
        """
        self.coverages.pop(item, None)
        removed = [
            record_key
            for record_key, record in self.records.items()
            if record_key.service == item.service
            and record.state is not RecordState.RUNNING
            and includes(record.key_hash)
        ]
        for record_key in removed:
            self._remove(record_key)

    def _remove(self, record_key: RecordKey) -> None:
        record = self.records.pop(record_key)
        if record.answer is not None:
            self.answer_bytes -= record.answer.size

    def _retain_answer(self, record_key: RecordKey, record: Record) -> None:
        """Count a stored answer and drop the oldest ones beyond the size limit.

        The records of dropped answers are kept, so that a resubmission is refused and
        does not run again.
        """
        self.answer_bytes += record.answer.size
        self.answered.append((record_key, record))
        while self.answer_bytes > MAX_TOTAL_ANSWER_BYTES:
            oldest_key, oldest = self.answered.popleft()
            if self.records.get(oldest_key) is not oldest:
                continue
            if oldest.answer is None:
                continue
            self.answer_bytes -= oldest.answer.size
            oldest.answer = None
            oldest.state = RecordState.ANSWER_DROPPED

    def _add(self, record_key: RecordKey, record: Record) -> None:
        if record_key in self.records:
            self._remove(record_key)
        self.records[record_key] = record
        if record.answer is not None:
            self._retain_answer(record_key, record)
        heapq.heappush(
            self.expiry_heap,
            (record.created, next(self.tie_breaker), record_key, record),
        )
        while (
            self.answered
            and self.records.get(self.answered[0][0]) is not (self.answered[0][1])
        ):
            self.answered.popleft()
        if len(self.expiry_heap) > 2 * self.limit + 2:
            # Entries of removed records would otherwise accumulate for 660 s.
            self.expiry_heap = [
                e for e in self.expiry_heap if self.records.get(e[2]) is e[3]
            ]
            heapq.heapify(self.expiry_heap)

    def _coverage_of(self, item: Item, placement: Placement, now: float) -> Coverage:
        coverage = self.coverages.get(item)
        if coverage is None:
            # Neither a loss nor an import was reported for this item, so records from
            # before this epoch may be missing.
            coverage = Coverage(placement.epoch, now)
        elif coverage.epoch < placement.coverage_epoch:
            coverage = Coverage(placement.coverage_epoch, now)
        self.coverages[item] = coverage
        return coverage

    def _coverage_to_export(
        self, item: Item, placement: Placement, now: float
    ) -> Coverage:
        partition = Item(item.service, False, placement.partition)
        if item.is_key and item not in self.coverages:
            # The key is leaving its partition, whose records covered it until now.
            return self._coverage_of(partition, placement, now)
        return self._coverage_of(item, placement, now)


def _decision_for(record: Record) -> Decision:
    match record.state:
        case RecordState.RUNNING:
            return Join(record.waiters)
        case RecordState.ANSWERED:
            return Replay(record.answer)
        case _:
            return Refuse(ErrorKind.DUPLICATE_UNKNOWN)


def _first_submission_refusal(
    born: str, coverage: Coverage, now: float, unix_now: float
) -> ErrorKind | None:
    """Return why a request without a record must not run, or None if it may run."""
    if not born:
        if now - coverage.started_at >= MIN_COVERAGE_S:
            return None
        return ErrorKind.DUPLICATE_UNKNOWN
    token = parse_born_token(born)
    if token.is_error():
        return token.error
    if proves_first_submission(token.ok, coverage.epoch, unix_now):
        return None
    return ErrorKind.DUPLICATE_UNKNOWN


def _encoded_size(record_key: RecordKey, record: Record) -> int:
    answer_bytes = record.answer.size if record.answer is not None else 0
    # A character takes up to four bytes in UTF-8.
    key_bytes = 4 * (len(record_key.key) + len(record_key.idempotency_key))
    return _RECORD_OVERHEAD_BYTES + key_bytes + answer_bytes


def _to_array(record_key: RecordKey, record: Record, now: float) -> list:
    answer = record.answer or StoredAnswer(0, (), b"")
    return [
        record_key.key,
        record_key.idempotency_key,
        record.key_hash,
        int(record.state),
        now - record.created,
        answer.status,
        answer.headers,
        answer.body,
    ]


def _from_array(service: str, array: list, now: float) -> tuple[RecordKey, Record]:
    key, idempotency_key, key_hash, state, age_s, status, headers, body = array
    state = RecordState(state)
    answer = None
    if state is RecordState.ANSWERED:
        answer = StoredAnswer(status, tuple(map(tuple, headers)), body)
    return (
        RecordKey(service, key, idempotency_key),
        Record(key_hash, now - age_s, state, answer),
    )
