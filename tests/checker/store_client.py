"""The calls of one caller to the store of the checker, and their faults."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any

from sesamepost.internal.coordination.store import (
    Batch,
    HistoryGoneError,
    StoreError,
    StoreRejectedError,
    StoreSilentError,
)
from sesamepost.platform.store import CALL_TIMEOUT_S, WATCH_GRACE_S
from tests.checker.versioned_calls import Answer, VersionedCalls

if TYPE_CHECKING:
    from tests.checker.store import Store

# The time of a call, and of its answer, on the way without a fault.
LATENCY_S = 0.002
# The calls that may take effect late.
CHANGES = frozenset({"commit", "open_lease", "renew_lease", "end_lease"})


@dataclass(frozen=True, slots=True)
class Reachable:
    """Calls arrive after ``call_s`` and their answers ``answer_s`` later.

    A call whose answer arrives after the time-out of the client has been carried out.
    """

    call_s: float = LATENCY_S
    answer_s: float = LATENCY_S


@dataclass(frozen=True, slots=True)
class Refused:
    """Connections are refused, which the client reports as an unknown outcome."""


@dataclass(frozen=True, slots=True)
class Rejecting:
    """Calls are answered with a status that promises that nothing was done."""


@dataclass(frozen=True, slots=True)
class Silent:
    """Calls are neither carried out nor answered."""


@dataclass(frozen=True, slots=True)
class AnswersLost:
    """Calls are carried out and not answered."""


@dataclass(frozen=True, slots=True)
class LateExecution:
    """Changes are carried out after ``delay_s`` and not answered; reads are silent."""

    delay_s: float


Fault = Reachable | Refused | Rejecting | Silent | AnswersLost | LateExecution


class StoreClient(VersionedCalls):
    """Implements ``CoordinationStore`` for one caller.

    ``fault`` and ``watch_lag_s``, the time by which the answers of watches lag, may be
    changed at any time. A call that has been made is carried out even if its caller is
    cancelled. ``calls`` counts the calls by kind, ``unanswered`` and ``rejected`` those
    that failed.
    """

    def __init__(self, store: "Store", name: str) -> None:
        super().__init__()
        self.store = store
        self.loop = store.loop
        self.name = name
        self.fault: Fault = Reachable()
        self.watch_lag_s = 0.0
        self.calls: Counter[str] = Counter()
        self.unanswered: Counter[str] = Counter()
        self.rejected: Counter[str] = Counter()

    async def ask(self, kind: str, *arguments) -> Answer:
        """Return the answer to a call, or raise ``StoreError`` as the fault says."""
        if kind == "watch":
            return await self._watch(*arguments)
        execute = partial(getattr(self.store, kind), *arguments)
        if kind in CHANGES:
            match self._present_fault():
                case LateExecution(delay_s):
                    self.loop.call_later(
                        delay_s, self._execute, kind, execute, None, 0.0
                    )
        return await self._ask(kind, execute)

    async def _watch(self, prefix: str, after: int, wait_s: float) -> Answer:
        kind, store = "watch", self.store
        self.calls[kind] += 1
        try:
            async with asyncio.timeout(wait_s + WATCH_GRACE_S):
                await self._pass_fault()
                if not store.oldest_revision <= after <= store.revision:
                    gone = HistoryGoneError(f"no history after revision {after}")
                    return self._answer(gone)
                answer = self._answer(
                    await self._wait_for_changes(prefix, after, wait_s)
                )
                await asyncio.sleep(self.watch_lag_s)
                await self._pass_fault()
                return answer
        except TimeoutError:
            self.unanswered[kind] += 1
            raise StoreSilentError(f"{kind}: no answer") from None

    async def _wait_for_changes(self, prefix: str, after: int, wait_s: float) -> Batch:
        end = self.loop.time() + wait_s
        while True:
            batch = self.store.changes(prefix, after)
            remaining_s = end - self.loop.time()
            if batch.events or remaining_s <= 0:
                return batch
            waiting = self.loop.create_future()
            timer = self.loop.call_later(remaining_s, _resolve, waiting, None)
            self.store.watching.add(waiting)
            try:
                await waiting
            finally:
                timer.cancel()
                self.store.watching.discard(waiting)

    async def _pass_fault(self) -> None:
        """Let a watch, or its answer, on its way; it waits forever if that is lost."""
        match self._present_fault():
            case Reachable(call_s):
                await asyncio.sleep(call_s)
            case Refused():
                raise StoreSilentError("the connection was refused")
            case Rejecting():
                raise StoreRejectedError("status 503")
            case Silent() | AnswersLost() | LateExecution():
                await self.loop.create_future()

    def _present_fault(self) -> Fault:
        return Refused() if self.store.is_down else self.fault

    async def _ask(self, kind: str, execute: Callable[[], Any]) -> Answer:
        self.calls[kind] += 1
        answered = self.loop.create_future()
        match self._present_fault():
            case Reachable(call_s, answer_s):
                self.loop.call_later(
                    call_s, self._execute, kind, execute, answered, answer_s
                )
            case AnswersLost():
                self.loop.call_later(LATENCY_S, self._execute, kind, execute, None, 0.0)
            case Refused():
                error = StoreSilentError(f"{kind}: the connection was refused")
                self.loop.call_later(LATENCY_S, _resolve, answered, error)
            case Rejecting():
                error = StoreRejectedError(f"{kind}: status 503")
                self.loop.call_later(2 * LATENCY_S, _resolve, answered, error)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await answered
        except TimeoutError:
            self.unanswered[kind] += 1
            raise StoreSilentError(f"{kind}: no answer") from None
        except StoreRejectedError:
            self.rejected[kind] += 1
            raise

    def _execute(
        self,
        kind: str,
        execute: Callable[[], Any],
        answered: asyncio.Future | None,
        answer_s: float,
    ) -> None:
        """Carry out a call that has arrived, and send the answer."""
        if self.store.is_down:
            return
        self.store.executed[kind] += 1
        try:
            outcome = execute()
        except StoreError as error:
            outcome = error
        if answered is not None:
            answer = self._answer(outcome)
            self.loop.call_later(answer_s, _resolve, answered, answer)

    def _answer(self, outcome: Any) -> Answer:
        """Return the answer that the store gives now."""
        era = self.store.era
        return Answer(outcome, None if era is None else str(era))


def _resolve(answered: asyncio.Future, outcome: Any) -> None:
    if answered.done():
        return
    if isinstance(outcome, StoreError):
        answered.set_exception(outcome)
    else:
        answered.set_result(outcome)
