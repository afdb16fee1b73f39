"""Pipelined requests run concurrently and are answered in order."""

import asyncio
from collections.abc import Callable
from contextlib import asynccontextmanager

from aiohttp import web

from sesamepost.internal.forwarding.pipelining import PipelinedHandler, PipelinedServer
from tests.waiting import until

PIPELINED = "".join(f"GET /{n} HTTP/1.1\r\nHost: h\r\n\r\n" for n in "abc").encode()


class Handler:
    """Answers with the path once the test sets ``release``."""

    def __init__(self) -> None:
        self.started: list[str] = []
        self.cancelled: list[str] = []
        self.release = asyncio.Event()
        self.changed = asyncio.Event()
        self.on_answer: Callable[[PipelinedHandler], None] = lambda connection: None

    async def work(self, path: str) -> web.Response:
        self.started.append(path)
        self.changed.set()
        try:
            await self.release.wait()
        except asyncio.CancelledError:
            self.cancelled.append(path)
            self.changed.set()
            raise
        return web.Response(text=path)

    def start_pipelined(self, message, payload) -> asyncio.Task | None:
        text = f"{message.path} {payload.read_nowait().decode()}".strip()
        return asyncio.ensure_future(self.work(text))

    async def handle(self, request) -> web.Response:
        task = request.protocol.take_pipelined(request._message)
        response = await (task or self.work(request.raw_path))
        if request.protocol.is_closing and not request.protocol.has_waiting:
            response.force_close()
        request.protocol.note_answered()
        self.on_answer(request.protocol)
        return response


@asynccontextmanager
async def served():
    handler = Handler()
    server = PipelinedServer(
        handler.handle, handler.start_pipelined, handler_cancellation=True
    )
    handler.server = server
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    reader, writer = await asyncio.open_connection(*runner.addresses[0][:2])
    yield handler, reader, writer
    writer.close()
    await runner.cleanup()


async def wait_for(handler: Handler, condition) -> None:
    async with asyncio.timeout(5):
        while not condition():
            handler.changed.clear()
            await handler.changed.wait()


async def test_pipelined_requests_start_before_the_first_is_answered():
    async with served() as (handler, reader, writer):
        writer.write(PIPELINED)
        await wait_for(handler, lambda: len(handler.started) == 3)
        handler.release.set()
        seen = b""
        async with asyncio.timeout(5):
            while seen.count(b"HTTP/1.1 200") < 3 or not seen.endswith(b"/c"):
                seen += await reader.read(4096)
        assert seen.index(b"/a") < seen.index(b"/b") < seen.index(b"/c")
        assert sorted(handler.started) == ["/a", "/b", "/c"]


async def test_a_pipelined_request_starts_once_its_body_is_complete():
    # Guards against requests that run without their body, which is complete before an
    # earlier answer is written (review, case 2).
    async with served() as (handler, reader, writer):
        head = b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"
        writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n" + head + b"bo")
        await wait_for(handler, lambda: handler.started == ["/a"])
        await asyncio.sleep(0.05)
        assert handler.started == ["/a"]
        writer.write(b"dy")
        await wait_for(handler, lambda: handler.started == ["/a", "/b body"])
        handler.release.set()
        async with asyncio.timeout(5):
            await reader.readuntil(b"/b body")


async def test_a_disconnect_cancels_all_pipelined_requests():
    # Guards against requests that keep running after their caller has disconnected.
    async with served() as (handler, _, writer):
        writer.write(PIPELINED)
        await wait_for(handler, lambda: len(handler.started) == 3)
        writer.transport.abort()
        await wait_for(handler, lambda: len(handler.cancelled) == 3)


async def test_a_closing_connection_answers_pending_requests_and_reads_no_more():
    # Guards against a caller that continues pipelining and thereby keeps a stopping
    # process busy until it is killed.
    async with served() as (handler, reader, writer):
        writer.write(PIPELINED)
        await wait_for(handler, lambda: len(handler.started) == 3)
        (connection,) = handler.server.connections
        connection.close_when_answered()
        writer.write(b"GET /late HTTP/1.1\r\nHost: h\r\n\r\n")
        await writer.drain()
        handler.release.set()
        async with asyncio.timeout(5):
            seen = await reader.read()
        assert seen.count(b"HTTP/1.1 200") == 3
        assert seen.endswith(b"/c")
        assert sorted(handler.started) == ["/a", "/b", "/c"]


async def test_a_close_while_an_answer_is_written_closes_the_connection_after_it():
    # Guards against a connection that stays open because its answer is complete but not
    # written when the node begins to close. The next request was then read and dropped,
    # and the connection ended with the process, 0.6 s later and without an answer.
    # Found on grown Paani, scale-1, LOST.
    async with served() as (handler, reader, writer):
        handler.release.set()
        loop = asyncio.get_running_loop()
        handler.on_answer = lambda connection: loop.call_soon(
            connection.close_when_answered
        )
        writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        async with asyncio.timeout(1):
            assert (await reader.read()).endswith(b"/a")


async def test_a_request_that_arrives_during_the_close_closes_the_connection():
    # Guards against a connection that reads requests and never answers them.
    async with served() as (handler, reader, writer):
        await until(lambda: handler.server.connections)
        (connection,) = handler.server.connections
        connection.is_closing = True
        writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        async with asyncio.timeout(1):
            assert await reader.read() == b""
        assert handler.started == []
