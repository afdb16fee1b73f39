"""An answer with an invalid status is no answer: its request may have run."""

import asyncio

import pytest

from sesamepost.errors import ANSWERS, Outcome, RouterError
from tests.forwarding.test_endpoint_connection import pool_to, send

REQUEST_TIMEOUT_S = 5.0
INVALID_STATUSES = ("000", "001", "099", "1", "20", "0200", "2000", "", "-20", "2x0")
# Valid by their form, but of no class that a caller could know.
UNKNOWN_STATUSES = ("600", "700", "999")


def answer_with(status: str) -> bytes:
    return f"HTTP/1.1 {status} X\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody".encode()


@pytest.mark.parametrize("status", [*INVALID_STATUSES, *UNKNOWN_STATUSES])
async def test_an_answer_with_an_invalid_status_is_not_passed_on(status):
    # Guards against a caller that takes the status of a broken worker for an answer.
    async with pool_to([answer_with(status)]) as (pool, endpoint):
        with pytest.raises(RouterError) as caught:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                await send(pool, "1")
        answer = ANSWERS[caught.value.kind]
        assert (answer.status, answer.outcome) == (502, Outcome.UNKNOWN)
        assert len(endpoint.requests) == 1


@pytest.mark.parametrize("status", ["100", "102", "199"])
async def test_an_informational_answer_is_not_the_final_one(status):
    # An answer below 200 has no body, so "body" is no answer.
    async with pool_to([answer_with(status)]) as (pool, endpoint):
        with pytest.raises(RouterError) as caught:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                await send(pool, "1")
        assert ANSWERS[caught.value.kind].outcome is Outcome.UNKNOWN
        assert len(endpoint.requests) == 1


async def test_switching_protocols_is_no_answer():
    head = b"HTTP/1.1 101 X\r\nId: 1\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"
    async with pool_to([head, "close"]) as (pool, _):
        with pytest.raises(RouterError) as caught:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                await send(pool, "1")
        assert ANSWERS[caught.value.kind].outcome is Outcome.UNKNOWN


async def test_informational_answers_without_end_are_given_up():
    head = b"HTTP/1.1 100 Continue\r\n\r\n"
    async with pool_to([head * 1000]) as (pool, _):
        with pytest.raises(RouterError) as caught:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                await send(pool, "1")
        answer = ANSWERS[caught.value.kind]
        assert (answer.status, answer.outcome) == (502, Outcome.UNKNOWN)
