"""Endpoints that send without end cost bounded memory and no time of other callers."""

import asyncio
import time

import pytest
import uvloop

from sesamepost.errors import ANSWERS, Outcome, RouterError
from sesamepost.internal.forwarding.answer_budget import AnswerBudget
from sesamepost.internal.forwarding.endpoint_pool import EndpointPool
from sesamepost.internal.forwarding.protocol_names import HeaderNames
from tests.forwarding.flooding_worker import flooding_worker
from tests.forwarding.process_load import ProcessLoad
from tests.waiting import until

NAMES = HeaderNames("Id", "Timeout", "Not-Run", "From", "Only", "Key", "Instance")
REQUEST_TIMEOUT_S = 10.0
OK_HEAD = b"HTTP/1.1 200 OK\r\nId: 1\r\n"
CHUNKED = OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LONG_BODY = OK_HEAD + b"Content-Length: 999999999\r\n\r\n"
# Of the 300 MB of a machine, a process without requests needs about 100 MB.
MAX_GROWTH_BYTES = 150 << 20
# Less than the share of a deadline that a caller notices.
MAX_STOP_S = 0.1


@pytest.fixture(scope="module")
def event_loop_policy() -> uvloop.EventLoopPolicy:
    """Run the tests on the event loop of the router process."""
    return uvloop.EventLoopPolicy()


async def failure(pool: EndpointPool) -> RouterError | TimeoutError:
    with pytest.raises((RouterError, TimeoutError)) as caught:
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            await pool.send("GET", "/a", [("Host", "h")], b"", "1")
    return caught.value


async def flood(
    prefix: bytes, repeated: bytes, count: int
) -> tuple[ProcessLoad, float, list]:
    async with (
        flooding_worker(prefix, repeated) as address,
        EndpointPool(address, NAMES) as pool,
        ProcessLoad() as load,
    ):
        started = time.monotonic()
        errors = await asyncio.gather(*(failure(pool) for _ in range(count)))
        seconds = time.monotonic() - started
    print(
        f"{count} at once: {seconds:.2f} s, stop {load.longest_stop_s * 1000:.0f} ms, "
        f"growth {load.growth_bytes >> 20} MiB"
    )
    return load, seconds, errors


def assert_never_called_not_run(errors: list) -> None:
    for error in errors:
        assert isinstance(error, RouterError)
        assert ANSWERS[error.kind].outcome is Outcome.UNKNOWN


@pytest.mark.parametrize(
    "prefix", [LONG_BODY, OK_HEAD + b"\r\n"], ids=["length", "no length"]
)
async def test_bodies_without_end_take_bounded_memory(prefix):
    # Guards against a process that is killed for its memory, with the requests of all
    # callers, since each of many answers stays within the limit for one answer.
    load, _, errors = await flood(prefix, b"z", 60)
    assert load.growth_bytes < MAX_GROWTH_BYTES
    assert load.longest_stop_s < MAX_STOP_S
    assert_never_called_not_run(errors)


def whole_answer(size: int, repeated: bytes = b"w") -> bytes:
    return OK_HEAD + f"Content-Length: {size}\r\n\r\n".encode() + repeated * size


async def test_a_long_late_answer_is_skipped_without_its_lines():
    # Guards against lines of a skipped body that count as lines of the next head.
    late = whole_answer(100_000, b"\n").replace(b"Id: 1", b"Id: 0")
    async with (
        flooding_worker(late + whole_answer(20_000), b"") as address,
        EndpointPool(address, NAMES) as pool,
    ):
        assert await send(pool) == b"w" * 20_000
        assert pool.counters["skipped_answers"] == 1


async def send(pool: EndpointPool) -> bytes:
    return (await pool.send("GET", "/a", [("Host", "h")], b"", "1")).body


async def test_large_answers_that_do_not_fit_together_all_arrive_whole():
    # Guards against a budget that fails answers within the limit for one answer, and
    # against answers that all wait for each other.
    size = 4 << 20
    async with (
        flooding_worker(whole_answer(size), b"") as address,
        EndpointPool(address, NAMES, AnswerBudget(1 << 20)) as pool,
    ):
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            bodies = await asyncio.gather(*(send(pool) for _ in range(12)))
        assert bodies == [b"w" * size] * 12
        assert pool.budget.used_bytes == 0
        assert not pool.budget.held_back
        # A connection that was held back is used again.
        assert await send(pool) == b"w" * size


async def test_ordinary_answers_do_not_wait_for_unfinished_large_ones():
    # Guards against a budget that one worker uses up to delay the answers of others.
    budget = AnswerBudget(1 << 20)
    unfinished = LONG_BODY + b"z" * (2 << 20)
    async with (
        flooding_worker(unfinished, b"") as faulty,
        flooding_worker(whole_answer(5000), b"") as healthy,
        EndpointPool(faulty, NAMES, budget) as faulty_pool,
        EndpointPool(healthy, NAMES, budget) as pool,
    ):
        floods = [asyncio.ensure_future(send(faulty_pool)) for _ in range(10)]
        await until(lambda: len(budget.held_back) == 9)
        async with asyncio.timeout(1):
            bodies = await asyncio.gather(*(send(pool) for _ in range(50)))
        assert bodies == [b"w" * 5000] * 50
        for flood in floods:
            flood.cancel()
        await asyncio.gather(*floods, return_exceptions=True)
        assert budget.used_bytes == 0
        assert not budget.held_back


@pytest.mark.parametrize("count", [1, 30])
async def test_short_chunks_without_end_do_not_stop_the_event_loop(count):
    # Guards against a parser that is busy with one worker's bytes for seconds, while
    # all other requests of the node and its renewals wait.
    load, seconds, errors = await flood(CHUNKED, b"5\r\nabcde\r\n", count)
    assert load.longest_stop_s < MAX_STOP_S
    assert seconds < REQUEST_TIMEOUT_S
    assert_never_called_not_run(errors)


async def test_interim_responses_without_end_do_not_stop_the_event_loop():
    load, _, errors = await flood(b"", b"HTTP/1.1 100 Continue\r\n\r\n", 30)
    assert load.longest_stop_s < MAX_STOP_S
    assert_never_called_not_run(errors)


@pytest.mark.parametrize("lines", [10_000, 40_000])
async def test_heads_of_many_lines_do_not_stop_the_event_loop(lines):
    # The larger head exceeds the limit, but arrives whole in one read.
    head = OK_HEAD + b"X: y\r\n" * lines + b"\r\n"
    load, _, errors = await flood(head, b"z", 30)
    assert load.longest_stop_s < MAX_STOP_S
    assert_never_called_not_run(errors)


@pytest.mark.parametrize("size", [5, 700])
async def test_answers_in_many_chunks_arrive_whole(size):
    # Guards against limits on chunks that end ordinary answers, and against bytes that
    # are lost where parsing is interrupted.
    count = 4000
    chunk = f"{size:x}\r\n".encode() + b"c" * size + b"\r\n"
    async with (
        flooding_worker(CHUNKED + chunk * count + b"0\r\n\r\n", b"") as address,
        EndpointPool(address, NAMES) as pool,
        ProcessLoad() as load,
    ):
        bodies = await asyncio.gather(*(send(pool) for _ in range(20)))
        assert bodies == [b"c" * size * count] * 20
        # A connection whose response was parsed in parts is used again.
        assert await send(pool) == bodies[0]
        assert pool.counters["connections_opened"] == 20
    assert load.longest_stop_s < MAX_STOP_S
