"""The store of the checker replies as the stand-in of the platform's store does.

The same calls go to the store in memory and, over sockets and with the product's
client, to the stand-in. A difference means that the checker or the tests of whole
processes play a store that the platform's page does not describe.
"""

import asyncio
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from hypothesis import HealthCheck, example, given, settings

from sesamepost.internal.coordination.store import (
    Batch,
    ConditionFailedError,
    CoordinationStore,
    Item,
    StoreError,
    StoreSilentError,
    Transaction,
    Write,
)
from sesamepost.platform.store import CALL_TIMEOUT_S, PlatformStore
from tests.checker.store import MAX_EVENTS, Store
from tests.checker.store_client import (
    AnswersLost,
    LateExecution,
    Reachable,
    Refused,
    Rejecting,
    Silent,
)
from tests.checker.store_commands import (
    KEYS,
    SEQUENCES,
    Call,
    Command,
    Commit,
    EndLease,
    ForgetHistory,
    Get,
    List,
    OpenLease,
    Outage,
    Pass,
    Rejected,
    RenewLease,
    TooLarge,
    Unanswered,
    Watch,
)
from tests.platform import store_standin
from tests.platform.store_standin import StoreStandin

EXAMPLES = 150
# Real seconds until a call over a socket must have been answered.
TIMEOUT_S = 10.0
STEP_S = 0.1
TICK_S = 0.001
# Turns of the event loop in which all tasks that can go on have done so.
TURNS = 10
PROMPT = Reachable(0.0, 0.0)
# The end of a sequence, when all watches have ended.
LONGEST_WATCH_S = 2.0


PUT = Commit((), (("a/1", b"x", None),))
TWO_LEASES = [
    OpenLease(2.0),
    OpenLease(2.0),
    Commit((), (("a/1", b"", 0), ("a/2", b"", 0))),
    Commit((), (("b/1", b"", 1),)),
]


class ManualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only in ``advance``; sockets work as usual."""

    def __init__(self) -> None:
        super().__init__()
        self.present = 1000.0

    def time(self) -> float:
        return self.present

    async def settle(self) -> None:
        """Let the tasks of this process run that need no sockets."""
        for _ in range(TURNS):
            await asyncio.sleep(0)

    async def advance(self, duration_s: float) -> None:
        """Let time pass in small steps, so that timers fire in their order."""
        await self.settle()
        end = self.present + duration_s
        while self.present < end:
            self.present = min(end, self.present + STEP_S)
            await self.settle()

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait in real time until something has arrived over a socket."""
        end = time.monotonic() + TIMEOUT_S
        while not condition():
            assert time.monotonic() < end, "timed out"
            await asyncio.sleep(0)


class Play:
    """Sends one sequence to both stores and compares what their callers see."""

    def __init__(
        self, loop: ManualLoop, standin: StoreStandin, client: PlatformStore
    ) -> None:
        self.loop = loop
        self.standin = standin
        self.remote = client
        self.store = Store(loop)
        self.local = self.store.client("caller")
        self.local.fault = PROMPT
        self.leases: list[int] = []
        self.watches: list[tuple[asyncio.Task, asyncio.Task]] = []

    async def run(self, sequence: list[Command]) -> None:
        _reset(self.standin, self.loop)
        try:
            for command in sequence:
                await self._step(command)
                await self._compare_watches()
            await self._compare_reply(List(""))
            await self._advance(LONGEST_WATCH_S)
            await self._compare_watches()
            assert not self.watches
            await self._compare_reply(List(""))
        finally:
            for pair in self.watches:
                for task in pair:
                    task.cancel()

    async def _step(self, command: Command) -> None:
        match command:
            case Watch():
                await self._watch(command)
            case Pass(duration_s):
                await self._advance(duration_s)
            case ForgetHistory():
                self.store.forget_history()
                self.standin.forget_history()
            case Outage(duration_s):
                if not self.watches:
                    await self._go_down(duration_s)
            case Rejected(call):
                if not self.watches:
                    await self._reject(call)
            case Unanswered(call, is_executed):
                if not self.watches:
                    await self._leave_unanswered(call, is_executed)
            case _:
                await self._compare_reply(command)

    async def _advance(self, duration_s: float) -> None:
        end = self.loop.present + duration_s
        while self.loop.present < end:
            await self.loop.advance(min(STEP_S, end - self.loop.present))
            await self.standin.check_leases()
            await self.loop.settle()

    async def _go_down(self, duration_s: float) -> None:
        self.store.go_down()
        self.standin.is_down = True
        await self._advance(duration_s)
        self.store.come_back()
        self.standin.is_down = False

    async def _reject(self, call: Call) -> None:
        self.local.fault = Rejecting()
        self.standin.rejected = {"127.0.0.1"}
        await self._compare_reply(call, waits_s=STEP_S)
        self.local.fault = PROMPT
        self.standin.rejected = set()

    async def _leave_unanswered(self, call: Call, is_executed: bool) -> None:
        self.local.fault = AnswersLost() if is_executed else Silent()
        self.standin.lost_share = float(is_executed)
        self.standin.is_silent = not is_executed
        await self._compare_reply(call, waits_s=CALL_TIMEOUT_S + STEP_S)
        self.local.fault = PROMPT
        self.standin.lost_share = 0.0
        self.standin.is_silent = False

    async def _compare_reply(self, call: Call, waits_s: float = 0.0) -> None:
        calls = self.standin.calls
        prepared = self._prepare(call)
        tasks = [
            asyncio.ensure_future(_outcome(store, prepared))
            for store in (self.local, self.remote)
        ]
        await self.loop.until(lambda: self.standin.calls > calls)
        if waits_s:
            await self._advance(waits_s)
        await self.loop.until(lambda: all(task.done() for task in tasks))
        expected, reply = (task.result() for task in tasks)
        assert reply == expected, call
        # No two leases end at the same time, as the page leaves their order open.
        self.loop.present += TICK_S
        if isinstance(call, OpenLease) and isinstance(reply, int):
            self.leases.append(reply)

    def _prepare(self, call: Call) -> Any:
        """Return the call with the leases and revisions that it names."""
        match call:
            case Commit(conditions, writes, deletes):
                return Transaction(
                    {key: self._revision(key, add) for key, add in conditions},
                    tuple(Write(k, v, self._lease(i)) for k, v, i in writes),
                    deletes,
                )
            case TooLarge():
                keys = [f"k{number}" for number in range(17)]
                writes = tuple(Write(key, b"") for key in keys)
                return Transaction(dict.fromkeys(keys[1:], 0), writes)
            case RenewLease(index):
                return RenewLease(self._lease(index))
            case EndLease(index):
                return EndLease(self._lease(index))
        return call

    def _revision(self, key: str, add: int | None) -> int:
        item = self.store.items.get(key)
        return 0 if item is None or add is None else item.revision + add

    def _lease(self, index: int | None) -> int:
        if index is None:
            return 0
        return self.leases[index] if index < len(self.leases) else 1

    async def _watch(self, command: Watch) -> None:
        after = max(0, self.store.revision - command.behind)
        calls = self.standin.calls
        pair = tuple(
            asyncio.ensure_future(
                _answer(store.watch(command.prefix, after, command.wait_s))
            )
            for store in (self.local, self.remote)
        )
        self.watches.append(pair)
        await self.loop.until(lambda: self.standin.calls > calls)

    async def _compare_watches(self) -> None:
        """Compare the watches that are answered; the others must wait on both sides."""
        await self.loop.settle()
        waiting = []
        for local, remote in self.watches:
            if not local.done():
                assert not remote.done(), "answered though nothing has changed"
                waiting.append((local, remote))
                continue
            await self.loop.until(remote.done)
            assert remote.result() == local.result()
        self.watches = waiting


def _reset(standin: StoreStandin, loop: ManualLoop) -> None:
    """Empty the stand-in, which is started once."""
    standin.items, standin.leases, standin.events = {}, {}, []
    standin.next_lease = 1000
    standin.revision, standin.oldest_revision = 1, 0
    standin.checked_leases_at = loop.time()


async def _outcome(store: CoordinationStore, call: Any) -> Any:
    match call:
        case Get(key):
            return await _answer(store.get(key))
        case List(prefix):
            return await _answer(store.list(prefix))
        case Transaction():
            return await _answer(store.commit(call))
        case OpenLease(ttl_s):
            return await _answer(store.open_lease(ttl_s))
        case RenewLease(number):
            return await _answer(store.renew_lease(number))
        case EndLease(number):
            return await _answer(store.end_lease(number))


async def _answer(call) -> Any:
    """Return the result of a call, or what its caller sees of its failure."""
    try:
        return await call
    except ConditionFailedError as error:
        return type(error).__name__, error.items
    except StoreError as error:
        return type(error).__name__


class Stores:
    """The stand-in and its client, which are started once in a test run."""

    def __init__(self) -> None:
        self.runner = asyncio.Runner(loop_factory=ManualLoop)
        self.loop: ManualLoop = self.runner.get_loop()
        self.standin = StoreStandin()
        self.client: PlatformStore | None = None
        self.runner.run(self._start())

    async def _start(self) -> None:
        await self.standin.__aenter__()
        self.client = PlatformStore(f"http://{self.standin.address}")
        await self.client.__aenter__()

    def play(self, sequence: list[Command]) -> None:
        self.runner.run(Play(self.loop, self.standin, self.client).run(sequence))

    def close(self) -> None:
        self.runner.run(self._stop())
        self.runner.close()

    async def _stop(self) -> None:
        await self.client.__aexit__()
        stopping = asyncio.ensure_future(self.standin.__aexit__())
        while not stopping.done():
            await self.loop.advance(STEP_S)


@pytest.fixture(scope="module")
def stores() -> Iterator[Stores]:
    """Yield the stores; a silent stand-in carries nothing out later."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(store_standin, "SILENCE_S", 1e9)
        stores = Stores()
        yield stores
        stores.close()


@settings(
    max_examples=EXAMPLES,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(sequence=SEQUENCES)
@example(sequence=[*[PUT] * (MAX_EVENTS + 1), Watch("", MAX_EVENTS + 1, 0.5)])
@example(sequence=[*[PUT] * (MAX_EVENTS + 1), Watch("", MAX_EVENTS, 0.5)])
@example(sequence=[*TWO_LEASES, RenewLease(0), Watch("", 0, 2.0), Pass(3.0)])
@example(sequence=[*TWO_LEASES, Pass(1.0), Outage(3.0), Pass(1.5)])
@example(sequence=[Commit((), (("b/1", b"", None),)), PUT])
def test_stores_reply_alike(stores, sequence) -> None:
    """Guards against a checker or a stand-in whose store differs from the page's."""
    stores.play(sequence)


def _run(test) -> None:
    with asyncio.Runner(loop_factory=ManualLoop) as runner:
        runner.run(test(Store(runner.get_loop()), runner.get_loop()))


def test_a_late_write_of_a_killed_caller_depends_on_its_conditions() -> None:
    """Guards against a checker without the late writes of dead processes."""

    async def test(store: Store, loop: ManualLoop) -> None:
        client = store.client("killed")
        client.fault = LateExecution(3.0)
        calls = [
            asyncio.ensure_future(
                client.commit(Transaction({key: 0}, (Write(key, b"late"),)))
            )
            for key in KEYS[:2]
        ]
        await loop.settle()
        for call in calls:
            call.cancel()
        store.put(KEYS[1], b"newer")
        await loop.advance(2.9)
        assert KEYS[0] not in store.items
        await loop.advance(0.2)
        assert store.items[KEYS[0]].value == b"late"
        assert store.items[KEYS[1]].value == b"newer"

    _run(test)


def test_a_revoked_entry_vanishes_and_its_lease_lives() -> None:
    """Guards against a checker that ends the lease with the entry."""

    async def test(store: Store, loop: ManualLoop) -> None:
        client = store.client("owner")
        lease = store.open_lease(2.0)
        store.put("a/1", b"", lease)
        store.revoke("a/1")
        renewing = asyncio.ensure_future(client.renew_lease(lease))
        await loop.advance(3 * STEP_S)
        assert renewing.exception() is None
        assert store.items == {}

    _run(test)


@pytest.mark.parametrize("fault", [Silent(), AnswersLost(), Refused(), "cut"])
def test_a_watch_fails_without_an_outcome(fault) -> None:
    """Guards against watches that faults of the checker do not reach."""

    async def test(store: Store, loop: ManualLoop) -> None:
        client = store.client("watcher")
        watching = asyncio.ensure_future(client.watch("", store.revision, 2.0))
        await loop.advance(2 * STEP_S)
        if fault == "cut":
            store.cut_watches()
        else:
            client.fault = fault
            store.put("a/1", b"")
        await loop.advance(4.0)
        assert isinstance(watching.exception(), StoreSilentError)

    _run(test)


def test_the_answer_of_a_watch_lags() -> None:
    """Guards against a lag that changes what a watch has seen."""

    async def test(store: Store, loop: ManualLoop) -> None:
        client = store.client("watcher")
        client.watch_lag_s = 0.5
        watching = asyncio.ensure_future(client.watch("", store.revision, 2.0))
        await loop.advance(2 * STEP_S)
        revision = store.put("a/1", b"")
        await loop.advance(0.3)
        store.put("a/2", b"")
        assert not watching.done()
        await loop.advance(0.4)
        assert watching.result() == Batch(revision, (Item("a/1", b"", revision),))

    _run(test)
