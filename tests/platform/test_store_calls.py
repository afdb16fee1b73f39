"""Tests of ``PlatformStore`` on slow links and on connections that fall silent."""

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.store import StoreSilentError
from sesamepost.platform.store import CALL_TIMEOUT_S, PlatformStore

PARTS = 10
PART_INTERVAL_S = 0.15


def encoded_response(**fields) -> bytes:
    body = json.dumps(fields).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


@asynccontextmanager
async def store_of(answer: Callable) -> AsyncIterator[PlatformStore]:
    """Run a server that calls ``answer(number, writer)`` for each request.

    ``number`` counts the connections from 0.
    """
    writers = []

    async def serve(reader, writer):
        number = len(writers)
        writers.append(writer)
        while await reader.readuntil(b"\r\n\r\n"):
            await answer(number, writer)

    async def serve_quietly(reader, writer):
        try:
            await serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    server = await asyncio.start_server(serve_quietly, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with PlatformStore(f"http://127.0.0.1:{port}") as store:
        yield store
    server.close()
    for writer in writers:
        writer.close()


async def test_a_listing_goes_on_while_its_parts_arrive():
    # Guards against listings that begin anew after each 0.8 s: over a narrow link a
    # page takes longer, so a node that had fallen behind never caught up.
    response = encoded_response(items=[], atRevision=7)

    async def answer(number, writer):
        for part in range(PARTS):
            first = part * len(response) // PARTS
            writer.write(response[first : (part + 1) * len(response) // PARTS])
            await asyncio.sleep(PART_INTERVAL_S)

    assert PARTS * PART_INTERVAL_S > CALL_TIMEOUT_S
    async with store_of(answer) as store:
        assert (await store.list("x/")).revision == 7


async def test_a_listing_whose_parts_cease_fails_soon():
    async def answer(number, writer):
        writer.write(encoded_response(items=[], atRevision=7)[:-3])

    async with store_of(answer) as store:
        started_at = boottime()
        with pytest.raises(StoreSilentError):
            await store.list("x/")
        assert boottime() - started_at < CALL_TIMEOUT_S + 0.5


async def test_the_answer_to_a_watch_dates_from_its_head():
    # Guards against data that count as recent although they were under way for long.
    response = encoded_response(events=[], atRevision=7)

    async def answer(number, writer):
        await asyncio.sleep(0.2)
        writer.write(response[:-5])
        await asyncio.sleep(0.3)
        writer.write(response[-5:])

    async with store_of(answer) as store:
        sent_at = boottime()
        batch = await store.watch("x/", 3, 0.5)
        assert 0.15 < batch.answered_at - sent_at < 0.4 < boottime() - sent_at


async def test_a_silent_call_closes_the_idle_connections():
    # Guards against calls that time out one after the other, each on another kept
    # connection that has fallen silent for good.
    silent_since = 4

    async def answer(number, writer):
        if number >= silent_since or not is_silent:
            await asyncio.sleep(0.05)
            writer.write(encoded_response(items=[], atRevision=7))

    is_silent = False
    async with store_of(answer) as store:
        await asyncio.gather(*(store.list("x/") for _ in range(silent_since)))
        is_silent = True
        with pytest.raises(StoreSilentError):
            await store.list("x/")
        assert (await store.list("x/")).revision == 7
