"""Clients that nobody controls neither end a node nor stop it from answering.

Each test attacks the process of a node that has the memory and the descriptors of a
small machine. The tests run one at a time, apart from other load.
"""

import asyncio
import itertools

import pytest

from tests.hostile.attacked_node import ANSWER_PATH, LIMITS, attacked
from tests.hostile.crowd import Client, crowd

pytestmark = pytest.mark.hostile

LARGE_CROWD = 400
CROWD = 40
BODY_BYTES = LIMITS["maxBodyBytes"]
PIECE_BYTES = 16 << 10
# The longest field that the parser accepts is 64 KiB.
FIELD = b"X: " + b"f" * (60 << 10) + b"\r\n"
UNFINISHED_HEAD = b"GET /p/x HTTP/1.1\r\nHost: app.example\r\n"
ENDLESS_BYTES = 8 << 20
# Every tenth body or request of an attack is sent to its end.
COMPLETE_EVERY = 10
CHUNKED = "Transfer-Encoding: chunked\r\n"
SHORT_CHUNKS = 50_000
SHORT_CHUNKS_CROWD = 120
PIPELINED = 32
PIPELINED_BODY_BYTES = 500_000
ANSWER_BYTES = 7 << 20
SLOW_S = 4


def pieces(data: bytes, size: int = PIECE_BYTES) -> list[bytes]:
    return [data[start : start + size] for start in range(0, len(data), size)]


async def test_long_heads(tmp_path):
    # Guards against heads that are limited only once they are whole.
    head = [UNFINISHED_HEAD, *[FIELD] * 120, b"\r\n"]
    async with attacked(tmp_path) as fleet:
        await fleet.attack(CROWD, lambda client: client.send(head))


async def test_heads_that_stop_just_short_of_their_end(tmp_path):
    head = [UNFINISHED_HEAD, *[FIELD] * 120]
    async with attacked(tmp_path) as fleet:
        await fleet.attack(CROWD, lambda client: client.send(head))


@pytest.mark.parametrize(
    ("start", "repeated"),
    [
        (b"GET /p/", b"x"),
        (UNFINISHED_HEAD + b"X: ", b"x"),
        (UNFINISHED_HEAD, b"X: y\r\n"),
        (b"", b"\r\n"),
    ],
    ids=["first line", "field", "fields", "empty lines"],
)
async def test_heads_without_end(start, repeated, tmp_path):
    block = repeated * (PIECE_BYTES // len(repeated))
    parts = [start, *[block] * (ENDLESS_BYTES // len(block))]
    async with attacked(tmp_path) as fleet:
        await fleet.attack(CROWD, lambda client: client.send(parts))


@pytest.mark.parametrize("size", [BODY_BYTES, PIECE_BYTES], ids=["whole", "pieces"])
async def test_large_bodies_that_stop_just_short_of_their_end(size, tmp_path):
    # Guards against bodies that are limited one by one: 40 of them use 335 MB.
    body = b"b" * BODY_BYTES
    numbers = itertools.count()
    async with attacked(tmp_path) as fleet:
        head = fleet.head(extra=f"Content-Length: {BODY_BYTES}\r\n")

        async def send(client: Client) -> None:
            missing = 0 if next(numbers) % COMPLETE_EVERY == 0 else 1
            await client.send([head, *pieces(body[: BODY_BYTES - missing], size)])

        await fleet.attack(CROWD, send)


async def test_whole_large_bodies_at_once(tmp_path):
    # Guards against copies of many bodies on their way to the endpoint.
    body = b"b" * BODY_BYTES
    async with attacked(tmp_path) as fleet:
        head = fleet.head(extra=f"Content-Length: {BODY_BYTES}\r\n")
        await fleet.attack(CROWD, lambda client: client.send([head, body]))


@pytest.mark.parametrize("size", [1 << 20, 64 << 10], ids=["1 MiB", "64 KiB"])
async def test_large_chunks_that_stop_just_short_of_their_end(size, tmp_path):
    chunk = f"{size:x}\r\n".encode() + b"c" * size + b"\r\n"
    numbers = itertools.count()
    async with attacked(tmp_path) as fleet:
        head = fleet.head(extra=CHUNKED)

        async def send(client: Client) -> None:
            chunks = [chunk] * (BODY_BYTES // size)
            is_complete = next(numbers) % COMPLETE_EVERY == 0
            end = b"0\r\n\r\n" if is_complete else b"0\r\n\r"
            await client.send([head, *chunks, end])

        await fleet.attack(CROWD, send)


@pytest.mark.parametrize("is_first", [True, False], ids=["first", "pipelined"])
async def test_short_chunks_that_stop_just_short_of_their_end(is_first, tmp_path):
    # Guards against chunks whose objects use far more memory than their bytes.
    chunks = pieces(b"2\r\ncc\r\n" * SHORT_CHUNKS)
    numbers = itertools.count()
    async with attacked(tmp_path) as fleet:
        head = fleet.head(extra=CHUNKED)
        before = b"" if is_first else fleet.head("/p/before", method="GET")

        async def send(client: Client) -> None:
            is_complete = next(numbers) % COMPLETE_EVERY == 0
            end = b"0\r\n\r\n" if is_complete else b"0\r\n\r"
            await client.send([before + head, *chunks, end])

        await fleet.attack(SHORT_CHUNKS_CROWD, send)


async def test_bodies_announced_and_never_begun(tmp_path):
    # Guards against connections that are not counted, until no descriptor is left.
    async with attacked(tmp_path) as fleet:
        head = fleet.head(extra=f"Content-Length: {BODY_BYTES}\r\n")
        await fleet.attack(LARGE_CROWD, lambda client: client.send([head]))


async def test_heads_of_a_byte_a_second(tmp_path):
    async def send(client: Client) -> None:
        for byte in UNFINISHED_HEAD[:SLOW_S]:
            await client.send([bytes([byte])])
            await asyncio.sleep(1)

    async with attacked(tmp_path) as fleet:
        await fleet.attack(LARGE_CROWD, send)


async def test_many_short_connections(tmp_path):
    async with attacked(tmp_path) as fleet:
        head = fleet.head(method="GET")

        async def send(client: Client) -> None:
            for _ in range(20):
                await client.send([head])
                client.close()
                client.writer = None
                if not await client.connect():
                    return

        await fleet.attack(LARGE_CROWD, send)


@pytest.mark.parametrize("kind", ["bodies", "answers"])
async def test_pipelined_requests_whose_answers_are_not_read(kind, tmp_path):
    # Guards against bodies and answers that wait behind one that nobody reads.
    body = b"b" * PIPELINED_BODY_BYTES if kind == "bodies" else b""
    path = f"{ANSWER_PATH}{ANSWER_BYTES}"
    async with attacked(tmp_path) as fleet:
        extra = f"Content-Length: {len(body)}\r\n"

        async def send(client: Client) -> None:
            client.writer.transport.pause_reading()
            requests = [fleet.head(path, extra) + body for _ in range(PIPELINED)]
            await client.send(requests)

        await fleet.attack(CROWD, send)


async def test_answers_that_are_read_a_byte_a_second(tmp_path):
    # Guards against answers that stay in memory as long as their callers like.
    path = f"{ANSWER_PATH}{ANSWER_BYTES}"
    async with attacked(tmp_path) as fleet:
        head = fleet.head(path, method="GET")

        async def send(client: Client) -> None:
            await client.send([head])
            for _ in range(SLOW_S):
                await asyncio.sleep(1)
                await client.reader.read(1)

        await fleet.attack(CROWD, send)


@pytest.mark.parametrize("port", ["control", "ready", "metrics"])
async def test_silent_connections_to_ports_of_the_platform(port, tmp_path):
    # Guards against the ports for heartbeats, readiness and metrics using up the
    # descriptors that callers need.
    async with attacked(tmp_path) as fleet:
        await fleet.attack(LARGE_CROWD, lambda client: client.send([]), port)


@pytest.mark.parametrize("count", [1, 8])
async def test_bodies_of_the_largest_size_are_served_in_calm(count, tmp_path):
    # Guards against limits that callers within the documented limits meet.
    body = b"b" * BODY_BYTES
    async with attacked(tmp_path) as fleet:
        head = fleet.head(
            extra=f"Content-Length: {BODY_BYTES}\r\nConnection: close\r\n"
        )
        answers = []

        async def send(client: Client) -> None:
            client.writer.write(head + body)
            async with asyncio.timeout(30):
                answers.append(await client.reader.read())

        async with crowd(fleet.address(), count, send):
            pass
        assert [answer.split(b" ")[1] for answer in answers] == [b"200"] * count
        assert all(answer.endswith(str(BODY_BYTES).encode()) for answer in answers)
