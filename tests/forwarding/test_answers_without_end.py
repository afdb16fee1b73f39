"""Endpoints that send without end cost a bounded part of the memory."""

import asyncio
import time

import pytest

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
LONG_BODY = OK_HEAD + b"Content-Length: 999999999\r\n\r\n"
# Of the 300 MB of a machine, a process without requests needs about 100 MB.
MAX_GROWTH_BYTES = 120 << 20


async def failure(pool: EndpointPool) -> RouterError | TimeoutError:
    with pytest.raises((RouterError, TimeoutError)) as caught:
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            await pool.send("GET", "/a", [("Host", "h")], b"", "1")
    return caught.value


async def flood(prefix: bytes, repeated: bytes, count: int) -> tuple[ProcessLoad, list]:
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
    return load, errors


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
    load, errors = await flood(prefix, b"z", 60)
    assert load.growth_bytes < MAX_GROWTH_BYTES
    assert_never_called_not_run(errors)


def whole_answer(size: int) -> bytes:
    return OK_HEAD + f"Content-Length: {size}\r\n\r\n".encode() + b"w" * size


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
