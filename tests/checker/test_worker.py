"""The worker of the checker replies as the stand-in of the platform's worker does.

The same commands go to the pure worker, to the same worker over a socket, and to the
stand-in over a socket. A difference means that the checker or the tests of whole
processes play a worker that the platform's page does not describe.
"""

import asyncio
from collections.abc import Iterator
from types import SimpleNamespace

import aiohttp
import pytest
from hypothesis import HealthCheck, example, given, settings

from tests.checker import worker_commands as commands
from tests.checker.worker import Worker
from tests.checker.worker_commands import (
    CALL_SEQUENCES,
    HEARTBEAT_SEQUENCES,
    TIMEOUT_S,
    Beat,
    Begin,
    Command,
    Drain,
    Finish,
    Grant,
    Health,
    OddGrant,
    Pass,
    Release,
    Reply,
    Side,
    until,
)
from tests.checker.worker_server import (
    WorkerServer,
)
from tests.platform import worker_standin
from tests.platform.worker_standin import (
    HeartbeatWorkerStandin,
    Record,
    WorkerStandin,
)

WORKER_ID = "i-1"
EXAMPLES = 150


# What is held at the end of a sequence, and a second later.
PROBES = [
    Health(),
    *(Begin(key) for key in (0, 1, 2, 65535)),
    Pass(1.0),
    *(Begin(key) for key in (0, 1, 2, 65535)),
]
# Work on a key whose hold is renewed before it ends.
RENEWED = [Grant(0, 2, 2, 2.0, ""), Begin(1), Pass(1.0), Grant(0, 2, 2, 5.0, "")]
# A hold is released in part; its other keys go on.
RELEASED_IN_PART = [Grant(0, 2, 2, 5.0, ""), Begin(1), Release(1, 1, 2)]
# A grant that ends sooner than the one before.
SHORTER = [Grant(0, 2, 2, 5.0, ""), Grant(0, 2, 2, 0.5, ""), Pass(0.5)]


class ManualClock:
    """A clock that only the commands set forward."""

    def __init__(self) -> None:
        self.time = 1000.0

    def __call__(self) -> float:
        return self.time


class ServedWorker:
    """The worker of the checker behind a socket."""

    def __init__(self, clock: ManualClock, by_heartbeat: bool) -> None:
        self.worker_id = WORKER_ID
        self.clock = clock
        self.by_heartbeat = by_heartbeat
        self.server: WorkerServer | None = None
        self.url = ""
        self.listener: asyncio.Server | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = WorkerServer(self._new_worker(), loop)
        self.server.work_s = None
        self.listener = await loop.create_server(self.server.protocol, "127.0.0.1", 0)
        self.url = "http://{}:{}".format(*self.listener.sockets[0].getsockname())

    async def stop(self) -> None:
        self.listener.close()
        self.server.crash()

    def _new_worker(self) -> Worker:
        return Worker(
            WORKER_ID,
            1,
            "keyed",
            self.clock,
            lambda event: None,
            by_heartbeat=self.by_heartbeat,
            slots=1000,
        )

    def reset(self) -> None:
        self.server.worker = self._new_worker()

    def has_begun(self, request_id: str) -> bool:
        return request_id in self.server.ends

    def count_releases(self) -> int:
        return len(self.server.worker.releases)

    def finish(self, request_id: str) -> None:
        self.server.finish(request_id)

    def expire(self) -> None:
        self.server.worker.expire()

    def drain(self) -> None:
        self.server.worker.state = "draining"

    def heartbeat(self) -> dict:
        return self.server.worker.heartbeat()

    def take_answer(self, answer: dict, sent_at: float) -> bool:
        return self.server.worker.take_answer(answer, sent_at)


class ServedStandin:
    """The stand-in of the platform's worker, whose work ends at a call."""

    def __init__(self, clock: ManualClock, by_heartbeat: bool) -> None:
        self.worker_id = WORKER_ID
        kind = HeartbeatWorkerStandin if by_heartbeat else WorkerStandin
        self.gates: dict[str, asyncio.Event] = {}
        self.waiting_releases = 0
        gates, side = self.gates, self

        class Standin(kind):
            async def _work(self, request_id: str) -> None:
                gates[request_id] = asyncio.Event()
                await gates[request_id].wait()
                del gates[request_id]

            async def _release(self, request):
                side.waiting_releases += 1
                try:
                    return await super()._release(request)
                finally:
                    side.waiting_releases -= 1

        # Nothing listens for heartbeats; the sequences carry them.
        ports = {"worker": 0, "control": 9}
        self.standin = Standin("127.0.0.1", ports, "keyed", Record())
        self.standin.first_heartbeat_s = 3600.0
        self.url = ""

    async def start(self) -> None:
        await self.standin.__aenter__()
        self.url = "http://{}:{}".format(*self.standin.runner.addresses[0][:2])
        self.reset()

    async def stop(self) -> None:
        await self.standin.__aexit__()

    def reset(self) -> None:
        standin = self.standin
        standin.id, standin.born, standin.state = WORKER_ID, 1, "ready"
        standin.holds, standin.seen_fences = [], set()
        standin.sequence = 0
        standin.released, standin.finishing = [], []

    def has_begun(self, request_id: str) -> bool:
        return request_id in self.gates

    def count_releases(self) -> int:
        return self.waiting_releases

    def finish(self, request_id: str) -> None:
        self.gates[request_id].set()

    def expire(self) -> None:
        # A release of the stand-in looks at the clock by itself.
        pass

    def drain(self) -> None:
        self.standin.state = "draining"

    def heartbeat(self) -> dict:
        return self.standin.next_heartbeat()[1]

    def take_answer(self, answer: dict, sent_at: float) -> bool:
        pause_s = self.standin._take_answer(answer, sent_at)
        return pause_s < self.standin.heartbeat_interval_s


class Play:
    """Sends one sequence of commands to a side and compares it with a pure worker."""

    def __init__(
        self,
        side: Side,
        clock: ManualClock,
        session: aiohttp.ClientSession,
        by_heartbeat: bool,
    ) -> None:
        self.side = side
        self.clock = clock
        self.session = session
        self.model = Worker(
            WORKER_ID,
            1,
            "keyed",
            clock,
            lambda event: None,
            by_heartbeat=by_heartbeat,
            slots=1000,
        )
        self.count = 0
        self.requests: dict[str, asyncio.Task] = {}
        self.releases: list[tuple[commands.Release, asyncio.Task]] = []

    async def run(self, sequence: list[Command]) -> None:
        self.side.reset()
        try:
            for command in [*sequence, *PROBES]:
                await self._step(command)
                await self._compare_releases()
            for request_id in list(self.requests):
                await self._finish(request_id)
            await self._compare_releases()
            assert not self.releases
        finally:
            await self._end_all()

    async def _step(self, command: Command) -> None:
        match command:
            case Grant(first, last, fence, hold_s, handover):
                status = self.model.grant(first, last, fence, hold_s, handover)
                await self._compare_post("/grant", command.body, Reply(status))
            case OddGrant(body):
                await self._compare_post("/grant", body, Reply(400))
            case Release():
                await self._release(command)
            case Begin():
                await self._begin(command)
            case Finish(index) if self.requests:
                waiting = list(self.requests)
                await self._finish(waiting[index % len(waiting)])
            case Health():
                status = 200 if self.model.state == "ready" else 503
                reply = await commands.get(self.session, self.side.url + "/health", {})
                assert reply == Reply(status, {"Instance-Id": WORKER_ID})
            case Drain():
                self.model.state = "draining"
                self.side.drain()
            case Pass(duration_s):
                self.clock.time += duration_s
                self.model.expire()
                self.side.expire()
            case Beat():
                self._beat(command)

    async def _compare_post(self, path: str, body: object, expected: Reply) -> None:
        reply = await commands.post(self.session, self.side.url + path, body)
        assert reply == expected

    async def _release(self, command: Release) -> None:
        body = {"from": command.first, "target": command.last, "fence": command.fence}
        if self.model.by_heartbeat:
            await self._compare_post("/release", body, Reply(400))
            return
        release = self.model.release(command.first, command.last, command.fence)
        url = self.side.url + "/release"
        sent = asyncio.ensure_future(commands.post(self.session, url, body))
        self.releases.append((release, sent))
        if not release.handover:
            waiting = len(self.model.releases)
            await until(lambda: self.side.count_releases() == waiting)

    async def _begin(self, command: Begin) -> None:
        self.count += 1
        request_id = f"r{self.count}" if command.has_id else ""
        expected_id = WORKER_ID if command.is_for_this else "i-2"
        headers = {
            "Request-Id": request_id,
            "Shard-Key": str(command.key),
            "Expected-Instance": expected_id,
            "Caller-Service": "keyed",
        }
        status = self.model.begin(request_id, command.key, expected_id)
        sent = asyncio.ensure_future(
            commands.get(self.session, self.side.url + "/path", headers)
        )
        if status != 200:
            refused = {"Request-Id": request_id, "Not-Executed": "1"}
            assert await _answer(sent) == Reply(status, refused)
            return
        self.requests[request_id] = sent
        await until(lambda: self.side.has_begun(request_id))

    async def _finish(self, request_id: str) -> None:
        sent = self.requests.pop(request_id)
        status = self.model.end(request_id)
        self.side.finish(request_id)
        body = "GET /path keyed " if status == 200 else ""
        assert await _answer(sent) == Reply(status, {"Request-Id": request_id}, body)

    async def _compare_releases(self) -> None:
        """Compare the answers to releases whose token is ready, and only to those."""
        waiting = []
        for release, sent in self.releases:
            if not release.handover:
                assert not sent.done(), "released while a request is at work"
                waiting.append((release, sent))
                continue
            assert await _answer(sent) == Reply(200, {"Handover": release.handover})
        self.releases = waiting

    def _beat(self, command: Beat) -> None:
        expected, body = self.model.heartbeat(), self.side.heartbeat()
        for part in (expected, body):
            for name in ("holds", "released"):
                part[name] = sorted(list(row) for row in part[name])
            # Each side has an address and a number of slots of its own.
            del part["address"], part["serviceInfo"]
        assert body == expected
        if command.is_lost:
            return
        answer = {}
        if command.ranges is not None:
            answer["holds"] = [list(row) for row in command.ranges]
            answer["holdS"] = command.hold_s
        is_due = self.model.take_answer(answer, self.clock())
        assert self.side.take_answer(answer, self.clock()) == is_due

    async def _end_all(self) -> None:
        for request_id in self.requests:
            self.side.finish(request_id)
        sent = [*self.requests.values(), *(sent for _, sent in self.releases)]
        if sent:
            await asyncio.wait(sent, timeout=TIMEOUT_S)
        for task in sent:
            task.cancel()
        await asyncio.gather(*sent, return_exceptions=True)


async def _answer(sent: asyncio.Task) -> Reply:
    async with asyncio.timeout(TIMEOUT_S):
        return await sent


class Sides:
    """The served workers of a test run, which are started once."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.runner = asyncio.Runner()
        self.session: aiohttp.ClientSession | None = None
        self.sides: dict[tuple[type, bool], Side] = {}

    def side(self, kind: type, by_heartbeat: bool) -> Side:
        key = kind, by_heartbeat
        if key not in self.sides:
            side = kind(self.clock, by_heartbeat)
            self.runner.run(side.start())
            self.sides[key] = side
        return self.sides[key]

    def play(self, side: Side, by_heartbeat: bool, sequence: list[Command]) -> None:
        self.runner.run(self._play(side, by_heartbeat, sequence))

    async def _play(
        self, side: Side, by_heartbeat: bool, sequence: list[Command]
    ) -> None:
        if self.session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self.session = aiohttp.ClientSession(connector=connector)
        await Play(side, self.clock, self.session, by_heartbeat).run(sequence)

    def close(self) -> None:
        self.runner.run(self._close())
        self.runner.close()

    async def _close(self) -> None:
        if self.session is not None:
            await self.session.close()
        for side in self.sides.values():
            await side.stop()


@pytest.fixture(scope="module")
def sides() -> Iterator[Sides]:
    """Yield the sides; the clock of the stand-in is the manual one."""
    sides = Sides()
    with pytest.MonkeyPatch.context() as patch:
        clock = SimpleNamespace(monotonic=sides.clock)
        patch.setattr(worker_standin, "time", clock)
        yield sides
        sides.close()


COMPARISON = settings(
    max_examples=EXAMPLES,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)


@pytest.mark.parametrize("kind", [ServedWorker, ServedStandin])
@COMPARISON
@given(sequence=CALL_SEQUENCES)
@example(sequence=[*RENEWED, Pass(2.0), Finish(0)])
@example(sequence=[*RENEWED, Pass(5.0), Finish(0)])
@example(sequence=RELEASED_IN_PART)
@example(sequence=SHORTER)
@example(sequence=[Drain()])
def test_workers_reply_alike_to_grants_by_call(sides, kind, sequence) -> None:
    """Guards against a checker or a stand-in whose holds differ from the page's."""
    sides.play(sides.side(kind, False), False, sequence)


@pytest.mark.parametrize("kind", [ServedWorker, ServedStandin])
@COMPARISON
@given(sequence=HEARTBEAT_SEQUENCES)
def test_workers_reply_alike_to_orders_by_heartbeat(sides, kind, sequence) -> None:
    """Guards against a checker or a stand-in that takes orders in another way."""
    sides.play(sides.side(kind, True), True, sequence)
