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
    Item,
    StoreError,
    StoreRejectedError,
    StoreSilentError,
    Transaction,
)
from sesamepost.platform.store import CALL_TIMEOUT_S, WATCH_GRACE_S

if TYPE_CHECKING:
    from tests.checker.store import Store

# The time of a call, and of its answer, on the way without a fault.
LATENCY_S = 0.002


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


class StoreClient:
    """Implements ``CoordinationStore`` for one caller.

    ``fault`` and ``watch_lag_s``, the time by which the answers of watches lag, may be
    changed at any time. A call that has been made is carried out even if its caller is
    cancelled. ``calls`` counts the calls by kind, ``unanswered`` and ``rejected`` those
    that failed.
    """

    def __init__(self, store: "Store", name: str) -> None:
        self.store = store
        self.loop = store.loop
        self.name = name
        self.fault: Fault = Reachable()
        self.watch_lag_s = 0.0
        self.calls: Counter[str] = Counter()
        self.unanswered: Counter[str] = Counter()
        self.rejected: Counter[str] = Counter()

    async def get(self, key: str) -> tuple[Item | None, int]:
        """Return the item at ``key``, or None, and the revision of the store."""
        return await self._call("get", partial(self.store.get, key))

    async def list(self, prefix: str) -> Batch:
        """Return all items whose key begins with ``prefix``."""
        return await self._call("list", partial(self.store.list, prefix))

    async def commit(self, transaction: Transaction) -> int:
        """Apply a transaction and return the revision of the change."""
        return await self._change("commit", partial(self.store.commit, transaction))

    async def open_lease(self, ttl_s: float) -> int:
        """Open a lease and return its id."""
        return await self._change("open_lease", partial(self.store.open_lease, ttl_s))

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raise ``LeaseEndedError`` if it has ended."""
        await self._change("renew_lease", partial(self.store.renew_lease, lease))

    async def end_lease(self, lease: int) -> None:
        """End a lease and remove the keys bound to it."""
        await self._change("end_lease", partial(self.store.end_lease, lease))

    async def watch(self, prefix: str, after: int, wait_s: float) -> Batch:
        """Return the changes after a revision, waiting up to ``wait_s`` for one."""
        kind = "watch"
        self.calls[kind] += 1
        try:
            async with asyncio.timeout(wait_s + WATCH_GRACE_S):
                await self._pass_fault()
                if after < self.store.oldest_revision:
                    raise HistoryGoneError(f"no history after revision {after}")
                batch = await self._wait_for_changes(prefix, after, wait_s)
                await asyncio.sleep(self.watch_lag_s)
                await self._pass_fault()
                return batch
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

    async def _change(self, kind: str, execute: Callable[[], Any]) -> Any:
        match self._present_fault():
            case LateExecution(delay_s):
                self.loop.call_later(delay_s, self._execute, kind, execute, None, 0.0)
        return await self._call(kind, execute)

    async def _call(self, kind: str, execute: Callable[[], Any]) -> Any:
        """Return the result of a call, or raise ``StoreError`` as the fault says."""
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
            self.loop.call_later(answer_s, _resolve, answered, outcome)


def _resolve(answered: asyncio.Future, outcome: Any) -> None:
    if answered.done():
        return
    if isinstance(outcome, StoreError):
        answered.set_exception(outcome)
    else:
        answered.set_result(outcome)
