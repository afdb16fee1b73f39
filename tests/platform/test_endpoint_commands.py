"""Grants reach only the incarnation of the worker that they are meant for."""

import asyncio

import pytest
from aiohttp import web
from structlog.contextvars import get_contextvars, merge_contextvars
from structlog.testing import capture_logs

from sesamepost.internal.clock import boottime
from sesamepost.internal.forwarding.endpoint_presence import EndpointPresence
from sesamepost.internal.forwarding.endpoint_watch import (
    RECENT_HEARTBEAT_S,
    EndpointWatch,
)
from sesamepost.internal.ranges.commands import (
    EndpointUnconfirmedError,
    EndpointUnresponsiveError,
)
from sesamepost.internal.ranges.holds import MARGIN_S
from sesamepost.internal.wire.pool import Address
from sesamepost.platform.endpoint_commands import WorkerCommands
from tests.forwarding.test_endpoint_connection import EndlessEndpoint
from tests.forwarding.test_endpoint_watch import info
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
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", self.port, reuse_address=True)
        await site.start()
        self.port = self.runner.addresses[0][1]
        return self

    async def __aexit__(self, *error) -> None:
        await self.runner.cleanup()

    async def _grant(self, request: web.Request) -> web.Response:
        self.grants.append(await request.json())
        return web.Response()

    async def _release(self, request: web.Request) -> web.Response:
        return web.Response(headers={"Handover": "t"})


async def test_another_incarnation_at_the_address_does_not_get_renewals_of_the_first():
    # Guards against a worker that has just started and is granted a range with the
    # fence of its previous incarnation, because its port accepts connections before its
    # first heartbeat arrives. Found by soak seed 14.
    async with (
        Worker() as first,
        WorkerCommands(Address("127.0.0.1", first.port)) as commands,
    ):
        assert await commands.grant(0, 9, 1, 4.0, "")
        commands.may_connect = lambda: False
        assert await commands.grant(0, 9, 1, 4.0, "")
        await first.runner.cleanup()
        async with Worker(first.port) as second:
            with pytest.raises(EndpointUnconfirmedError):
                await commands.grant(0, 9, 1, 4.0, "")
            assert await commands.release(0, 9, 1) == "t"
            assert second.grants == []
            commands.may_connect = lambda: True
            assert await commands.grant(0, 9, 2, 4.0, "")
            assert [grant["fence"] for grant in second.grants] == [2]


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
        grants = [commands.grant(n, n, 1, 4.0, "") for n in range(16)]
        assert all(await asyncio.gather(*grants))
        assert len(worker.hold_ends) == 16
        assert max(worker.hold_ends) - started <= 4.0 + MARGIN_S


async def test_an_incarnation_is_current_from_its_heartbeat_until_its_connections_end():
    # Guards against grants that wait for the next heartbeat of an unchanged worker.
    async with Worker() as worker:
        address = Address("127.0.0.1", worker.port)
        watch = EndpointWatch(None, None, lambda is_gone: None)
        async with EndpointPresence(address, watch) as presence:
            assert not presence.is_current()
            watch.note_heartbeat(info(1), 1)
            assert presence.is_current()
            presence.note_heartbeat()
            await until(lambda: presence.connection is not None)
            watch.last_heartbeat_at = boottime() - RECENT_HEARTBEAT_S
            assert presence.is_current()
            await worker.runner.cleanup()
            await until(lambda: not presence.is_current())
            watch.note_heartbeat(info(2), 1)
            assert presence.is_current()
            presence.note_new_incarnation()
            watch.last_heartbeat_at = boottime() - RECENT_HEARTBEAT_S
            assert not presence.is_current()


async def test_a_late_copy_of_a_release_does_not_end_the_next_one():
    # Guards against keys that get another owner while the first still runs requests.
    answers = [
        b"HTTP/1.1 200 OK\r\nHandover: t1\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nHandover: t2\r\nContent-Length: 0\r\n\r\n",
    ]
    sent: list[bytes] = []

    async def serve(reader, writer) -> None:
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


async def test_a_grant_over_a_new_connection_is_logged_with_its_connection_and_wait():
    # Guards against logs that do not tell which incarnation of the worker a grant
    # reached: incident OWNER left only two workers that held a key by the same fence.
    async with (
        Worker() as worker,
        WorkerCommands(Address("127.0.0.1", worker.port)) as commands,
    ):
        with capture_logs([merge_contextvars]) as logs:
            assert await commands.grant(0, 9, 1, 4.0, "")
            assert await commands.grant(0, 9, 1, 4.0, "")
            await worker.runner.cleanup()
            async with Worker(worker.port):
                assert await commands.grant(0, 9, 1, 4.0, "")
    assert [(line["event"], line["connection"]) for line in logs] == [
        ("grant_connection_opening", 1),
        ("grant_over_new_connection", 1),
        ("grant_connection_opening", 2),
        ("grant_over_new_connection", 2),
    ]
    assert all(0 <= line["waited_s"] < 1 for line in logs[::2])
    assert all(0 <= line["sent_after_s"] < 1 for line in logs[1::2])


async def test_lines_after_a_grant_name_the_known_connection_that_it_was_sent_over():
    # Guards against a hold that cannot be traced to the incarnation that holds it, if
    # its first grant went over a connection that was open already.
    async with (
        Worker() as worker,
        WorkerCommands(Address("127.0.0.1", worker.port)) as commands,
    ):
        assert await asyncio.create_task(commands.grant(0, 9, 1, 4.0, ""))
        await asyncio.sleep(0.05)
        assert await commands.grant(10, 19, 1, 4.0, "")
        known = get_contextvars()
    assert known["connection"] == 1
    assert known["connection_age_s"] >= 0.05


async def test_the_ground_on_which_a_new_connection_is_allowed_is_logged():
    # Guards against logs that do not tell whether a heartbeat or the idle connection
    # stood for the worker when a grant reached another incarnation.
    async with Worker() as worker:
        address = Address("127.0.0.1", worker.port)
        watch = EndpointWatch(None, None, lambda is_gone: None)
        async with EndpointPresence(address, watch) as presence:
            watch.note_heartbeat(info(1), 1)
            with capture_logs() as logs:
                presence.is_current()
                presence.note_heartbeat()
                await until(lambda: presence.connection is not None)
                watch.last_heartbeat_at = boottime() - 60.0
                presence.is_current()
                await worker.runner.cleanup()
                await until(lambda: not presence.is_current())
    by_heartbeat, opened, by_connection, lost = logs[0], logs[1], logs[2], logs[-1]
    assert by_heartbeat["event"] == by_connection["event"] == "new_connection_allowed"
    assert by_heartbeat["heartbeat_age_s"] < RECENT_HEARTBEAT_S
    assert by_heartbeat["idle_connection_age_s"] is None
    assert opened["event"] == "idle_connection_opened"
    assert by_connection["heartbeat_age_s"] >= 60.0
    assert by_connection["idle_connection_born"] == by_connection["current_born"] == 1
    assert lost["event"] == "idle_connection_lost"
    assert lost["born"] == 1
