"""Grants reach only the incarnation of the worker that they are meant for."""

import asyncio
from contextlib import suppress

import pytest
from aiohttp import web
from structlog.contextvars import get_contextvars, merge_contextvars
from structlog.testing import capture_logs

from sesamepost.internal.clock import boottime
from sesamepost.internal.forwarding.connection_groups import (
    FIRST_ANSWER_TIMEOUT_S,
    MIN_CONNECTIONS,
)
from sesamepost.internal.forwarding.endpoint_watch import EndpointWatch
from sesamepost.internal.ranges.commands import (
    EndpointGoneError,
    EndpointUnconfirmedError,
    EndpointUnresponsiveError,
    FenceBoundError,
    GrantDelayedError,
)
from sesamepost.internal.ranges.fence_groups import FenceGroups
from sesamepost.internal.wire.pool import Address
from sesamepost.platform.endpoint_commands import WorkerCommands
from tests.forwarding.test_endpoint_connection import EndlessEndpoint
from tests.forwarding.test_endpoint_watch import info
from tests.soak.proxy import FaultProxy
from tests.waiting import until


class Worker:
    """Accepts grants and releases on its own port until it is stopped."""

    def __init__(self, port: int = 0) -> None:
        self.port = port
        self.grants: list[dict] = []

    async def __aenter__(self) -> "Worker":
        app = web.Application()
        app.router.add_post("/grant", self._grant)
        app.router.add_post("/release", self._release)
        self.add_routes(app)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", self.port, reuse_address=True)
        await site.start()
        self.port = self.runner.addresses[0][1]
        return self

    async def __aexit__(self, *error) -> None:
        await self.runner.cleanup()

    def add_routes(self, app: web.Application) -> None:
        """Add the routes of a derived worker."""

    async def _grant(self, request: web.Request) -> web.Response:
        self.grants.append(await request.json())
        return web.Response()

    async def _release(self, request: web.Request) -> web.Response:
        return web.Response(headers={"Handover": "t"})


async def grant(commands: WorkerCommands, fences: FenceGroups, fence: int) -> bool:
    return await commands.grant(
        0, 9, fence, boottime() + 4.0, "", lambda group: fences.claim(fence, group)
    )


async def test_another_incarnation_at_the_address_does_not_get_renewals_of_the_first():
    # Guards against a worker that has just started and is granted a range with the
    # fence of its previous incarnation, because its port accepts connections before its
    # first heartbeat arrives. Found by soak seed 14.
    fences = FenceGroups()
    async with (
        Worker() as first,
        WorkerCommands(Address("127.0.0.1", first.port)) as commands,
    ):
        assert await grant(commands, fences, 1)
        commands.may_begin = lambda ended_at: False
        assert await grant(commands, fences, 1)
        await first.runner.cleanup()
        async with Worker(first.port) as second:
            with pytest.raises(EndpointUnconfirmedError):
                await grant(commands, fences, 1)
            assert await commands.release(0, 9, 1) == "t"
            assert second.grants == []
            commands.may_begin = lambda ended_at: True
            assert await grant(commands, fences, 2)
            assert [grant["fence"] for grant in second.grants] == [2]


async def test_a_late_heartbeat_does_not_pass_a_fence_on_to_the_next_incarnation():
    # Guards against OWNER: a heartbeat of an incarnation that has ended arrives late
    # and was taken for the proof that the next one at its address is that incarnation.
    fences = FenceGroups()
    async with (
        Worker() as first,
        WorkerCommands(Address("127.0.0.1", first.port)) as commands,
    ):
        assert await grant(commands, fences, 1)
        await first.runner.cleanup()
        async with Worker(first.port) as second:
            await asyncio.sleep(0.05)
            # As after any heartbeat, a late one included.
            commands.may_begin = lambda ended_at: True
            with pytest.raises(FenceBoundError):
                await grant(commands, fences, 1)
            assert second.grants == []


class SilentLink:
    """Forwards one port to another until its open connections go silent for good."""

    def __init__(self, port: int) -> None:
        self.proxy = FaultProxy(("127.0.0.1", 0), ("127.0.0.1", port))

    async def __aenter__(self) -> FaultProxy:
        return await self.proxy.__aenter__()

    async def __aexit__(self, *error) -> None:
        await self.proxy.__aexit__()
        await until(lambda: not self.proxy.links)
        # The transports are closed in the next turns of the event loop.
        await asyncio.sleep(0.05)


async def test_silent_connections_do_not_stand_for_the_next_incarnation():
    # Guards against OWNER: a connection to an incarnation that has ended went silent
    # and still looked open, so that grants were sent to the next one at its address
    # with the same fence. Found by soak seed 129.
    fences = FenceGroups()
    async with (
        Worker() as first,
        SilentLink(first.port) as link,
        WorkerCommands(Address(*link.address)) as commands,
    ):
        for _ in range(3):
            assert await grant(commands, fences, 1)
        link.silence_all()
        await first.runner.cleanup()
        async with Worker(first.port) as second:
            for _ in range(4):
                with pytest.raises((EndpointUnresponsiveError, FenceBoundError)):
                    await grant(commands, fences, 1)
            assert second.grants == []
            assert await grant(commands, fences, 2)
            assert [grant["fence"] for grant in second.grants] == [2]


async def test_a_grant_that_waited_does_not_pass_its_fence_on_to_the_next_incarnation():
    # Guards against OWNER: a grant waited for a connection while the endpoint ended and
    # the first heartbeat of the next incarnation arrived, and was sent to that one.
    fences = FenceGroups()
    async with (
        SlowWorker() as first,
        WorkerCommands(Address("127.0.0.1", first.port)) as commands,
    ):
        assert await grant(commands, fences, 1)
        grants = [asyncio.ensure_future(grant(commands, fences, 1)) for _ in range(12)]
        await asyncio.sleep(0.1)
        await first.runner.cleanup()
        async with Worker(first.port) as second:
            commands.end_group()
            await asyncio.gather(*grants, return_exceptions=True)
            assert second.grants == []


async def test_a_group_survives_the_loss_of_a_connection():
    # Guards against writes to the store for each connection that is reset.
    fences = FenceGroups()
    async with (
        Worker() as worker,
        WorkerCommands(Address("127.0.0.1", worker.port)) as commands,
    ):
        for _ in range(3):
            assert await grant(commands, fences, 1)
        groups = commands.groups
        assert len(groups.members) == MIN_CONNECTIONS
        for lost in (groups.anchor, groups.idle[0]):
            lost.transport.abort()
            await until(lambda: len(groups.members) < MIN_CONNECTIONS)
            assert await grant(commands, fences, 1)
            await until(lambda: groups.newcomers or groups.anchor)
            assert await grant(commands, fences, 1)
            assert len(groups.members) == MIN_CONNECTIONS
        assert groups.group == 1


async def test_a_connection_to_a_former_process_does_not_join_a_later_group():
    # Guards against a fence that reaches two incarnations: a connection that was being
    # opened when a group ended leads to the former process.
    async with (
        Worker() as worker,
        WorkerCommands(Address("127.0.0.1", worker.port)) as commands,
    ):
        groups = commands.groups
        former = await groups._open()
        for _ in range(2):
            assert await grant(commands, FenceGroups(), 1)
        groups.newcomers.append(former)
        assert await grant(commands, FenceGroups(), 1)
        assert groups.group == 1
        assert former not in groups.members
        assert former not in groups.newcomers


class SlowHealthWorker(Worker):
    """Answers the question for its health only after a while, as a full worker does."""

    def add_routes(self, app: web.Application) -> None:
        app.router.add_get("/health", self._health)

    async def _health(self, request: web.Request) -> web.Response:
        await asyncio.sleep(2 * FIRST_ANSWER_TIMEOUT_S)
        return web.Response()


async def test_a_group_has_a_spare_connection_beside_a_worker_without_free_slots():
    # Guards against a group that one unanswered grant ends, as its other connections
    # were opened before its first one and never join.
    fences = FenceGroups()
    async with (
        SlowHealthWorker() as worker,
        WorkerCommands(Address("127.0.0.1", worker.port)) as commands,
    ):
        groups = commands.groups
        for _ in range(20):
            assert await grant(commands, fences, 1)
            await asyncio.sleep(0.05)
        assert groups.group == 1
        assert len(groups.members) == MIN_CONNECTIONS


class LimitedWorker:
    """Answers on one connection and resets all others, as a full worker does."""

    def __init__(self) -> None:
        self.accepted = 0
        self.grants = 0
        self.tasks: list[asyncio.Task] = []

    async def __aenter__(self) -> "LimitedWorker":
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *error) -> None:
        self.server.close()
        await asyncio.wait(self.tasks)

    async def _serve(self, reader, writer) -> None:
        self.tasks.append(asyncio.current_task())
        self.accepted += 1
        if self.accepted > 1:
            writer.transport.abort()
            return
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if head.startswith(b"POST"):
                    await reader.readuntil(b"}")
                    self.grants += 1
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        writer.close()


async def test_a_worker_that_accepts_one_connection_gets_its_grants_over_it():
    # Guards against keys without service, and against connections without pause, while
    # a worker resets all new connections.
    fences = FenceGroups()
    async with (
        LimitedWorker() as worker,
        WorkerCommands(Address("127.0.0.1", worker.port)) as commands,
    ):
        for _ in range(10):
            assert await grant(commands, fences, 1)
            await asyncio.sleep(0.05)
        assert worker.grants == 10
        assert worker.accepted <= 8


class HoldingBackWorker(Worker):
    """Executes grants without answering them while ``is_silent``."""

    is_silent = False

    async def _grant(self, request: web.Request) -> web.Response:
        answer = await super()._grant(request)
        if self.is_silent:
            await asyncio.sleep(5)
        return answer


async def test_a_group_survives_grants_that_are_not_answered():
    # Guards against writes to the store for each grant that the endpoint does not
    # answer, and against ranges that wait for them.
    fences = FenceGroups()
    async with (
        HoldingBackWorker() as worker,
        WorkerCommands(Address("127.0.0.1", worker.port)) as commands,
    ):
        assert await grant(commands, fences, 1)
        worker.is_silent = True
        for _ in range(2):
            grants = [grant(commands, fences, 1) for _ in range(6)]
            for result in await asyncio.gather(*grants, return_exceptions=True):
                assert isinstance(
                    result, (EndpointUnresponsiveError, GrantDelayedError)
                )
        worker.is_silent = False
        assert await grant(commands, fences, 1)
        assert commands.groups.group == 1


class SlowWorker(Worker):
    """Answers each grant after a while and records when its hold ends."""

    def __init__(self) -> None:
        super().__init__()
        self.hold_ends: list[float] = []

    async def _grant(self, request: web.Request) -> web.Response:
        self.hold_ends.append(boottime() + (await request.json())["holdS"])
        await asyncio.sleep(0.2)
        return await super()._grant(request)


async def test_a_grant_that_waits_for_a_connection_gives_no_longer_hold():
    # Guards against holds that outlast the right of the node: a hold counts from the
    # arrival of its grant, and a node with many ranges sends only a few at a time.
    async with (
        SlowWorker() as worker,
        WorkerCommands(Address("127.0.0.1", worker.port)) as commands,
    ):
        started = boottime()
        grants = [
            commands.grant(n, n, 1, started + 4.0, "", lambda group: True)
            for n in range(16)
        ]
        assert all(await asyncio.gather(*grants))
        assert len(worker.hold_ends) == 16
        assert max(worker.hold_ends) - started <= 4.0


async def test_a_group_begins_after_a_heartbeat_that_follows_the_end_of_the_last_one():
    # Guards against grants to the next incarnation before it is known, and against
    # grants that wait for a heartbeat though the endpoint is unchanged.
    async with Worker() as worker:
        watch = EndpointWatch(None, None, lambda is_gone: None)
        commands = WorkerCommands(Address("127.0.0.1", worker.port))
        commands.may_begin = watch.has_heartbeat_since
        async with commands:
            with pytest.raises(EndpointUnconfirmedError):
                await grant(commands, FenceGroups(), 1)
            watch.note_heartbeat(info(1), 1)
            assert await grant(commands, FenceGroups(), 1)
            assert await grant(commands, FenceGroups(), 1)
            await worker.runner.cleanup()
            await until(lambda: not commands.groups.members)
            with pytest.raises(EndpointUnconfirmedError):
                await grant(commands, FenceGroups(), 1)
            watch.note_heartbeat(info(2), 1)
            with pytest.raises(EndpointGoneError):
                await grant(commands, FenceGroups(), 1)


async def test_a_late_copy_of_a_release_does_not_end_the_next_one():
    # Guards against keys that get another owner while the first still runs requests.
    answers = [
        b"HTTP/1.1 200 OK\r\nHandover: t1\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nHandover: t2\r\nContent-Length: 0\r\n\r\n",
    ]
    sent: list[bytes] = []
    served: list[asyncio.Task] = []

    async def serve(reader, writer) -> None:
        served.append(asyncio.current_task())
        is_kept = False
        try:
            while True:
                await reader.readuntil(b"}")
                if is_kept:
                    writer.write(sent[-1])
                answer = answers[len(sent)]
                writer.write(answer)
                sent.append(answer)
                is_kept = True
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with WorkerCommands(Address(*server.sockets[0].getsockname()[:2])) as orders:
        assert await orders.release(0, 9, 1) == "t1"
        assert await orders.release(10, 19, 1) == "t2"
    await asyncio.wait(served)
    server.close()


ENDLESS = {
    "no answer": (b"", b"\x00\x01\x02"),
    "a field": (b"HTTP/1.1 200 OK\r\nX: ", b"y"),
    "many fields": (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n"),
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "a body without a length": (b"HTTP/1.1 200 OK\r\n\r\n", b"z"),
    "many chunks": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"1\r\nz\r\n",
    ),
}


@pytest.mark.parametrize("where", ENDLESS)
async def test_an_order_is_not_answered_by_bytes_without_end(where):
    # Guards against a worker whose endless response to a release fills the node's
    # memory for the 6 s that a release may take.
    endpoint = EndlessEndpoint(*ENDLESS[where])
    server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname()[:2])
    async with WorkerCommands(address) as commands:
        with pytest.raises(EndpointUnresponsiveError):
            await commands.release(0, 9, 1)
        async with asyncio.timeout(5):
            await endpoint.closed.wait()
    assert endpoint.sent < 8 << 20
    server.close()


async def test_a_grant_is_logged_with_its_group_its_connection_and_its_wait():
    # Guards against logs that do not tell which incarnation of the worker a grant
    # reached: incident OWNER left only two workers that held a key by the same fence.
    async with (
        Worker() as worker,
        WorkerCommands(Address("127.0.0.1", worker.port)) as commands,
    ):
        with capture_logs([merge_contextvars]) as logs:
            for _ in range(2):
                assert await grant(commands, FenceGroups(), 1)
            first = get_contextvars()
            await until(lambda: len(commands.groups.members) == MIN_CONNECTIONS)
            await worker.runner.cleanup()
            await until(lambda: not commands.groups.members)
            async with Worker(worker.port):
                assert await grant(commands, FenceGroups(), 1)
                second = get_contextvars()
    begun = [line for line in logs if line["event"] == "command_group_begun"]
    all_joined = [e for e in logs if e["event"] == "command_connection_joined"]
    joined = all_joined[0]
    assert [line["group"] for line in begun] == [1, 2]
    assert begun[0]["ended_ago_s"] is None
    assert 0 <= begun[1]["ended_ago_s"] < 1
    assert joined["group"] == 1
    assert joined["answered_on"] == begun[0]["connection"] != joined["connection"]
    assert (first["group"], second["group"]) == (1, 2)
    assert second["connection"] in [e["connection"] for e in all_joined[1:]]
    assert all(e["answered_on"] == begun[1]["connection"] for e in all_joined[1:])
    for known in (first, second):
        assert 0 <= known["connection_age_s"] < 1
        assert 0 <= known["sent_after_s"] < 1


async def test_lines_after_a_grant_name_the_known_connection_that_it_was_sent_over():
    # Guards against a hold that cannot be traced to the incarnation that holds it, if
    # its first grant went over a connection that was open already.
    async with (
        Worker() as worker,
        WorkerCommands(Address("127.0.0.1", worker.port)) as commands,
    ):
        assert await asyncio.create_task(grant(commands, FenceGroups(), 1))
        expected = commands.groups.idle[0].opened
        await asyncio.sleep(0.05)
        assert await grant(commands, FenceGroups(), 1)
        known = get_contextvars()
    assert known["connection"] == expected
    assert known["connection_age_s"] >= 0.05
