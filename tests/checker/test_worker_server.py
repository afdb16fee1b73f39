"""Faults of the checker's worker over sockets, as the product's commands see them."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from sesamepost.internal.clock import boottime
from sesamepost.internal.ranges.commands import (
    EndpointUnresponsiveError,
    GrantDelayedError,
)
from sesamepost.internal.wire.pool import Address
from sesamepost.platform import endpoint_commands
from sesamepost.platform.endpoint_commands import WorkerCommands
from tests.checker.worker import Worker
from tests.checker.worker_events import Event, GrantRefused, GrantTaken, HoldEnded
from tests.checker.worker_server import LateExecution, NoAnswer, WorkerServer
from tests.waiting import until

HOLD_S = 2.0
LATE_S = 0.4


@asynccontextmanager
async def served_worker(events: list[Event]) -> AsyncIterator:
    """Yield a worker behind a socket and the commands of its node."""
    loop = asyncio.get_running_loop()
    worker = Worker("i-1", 1, "keyed", time.monotonic, events.append)
    server = WorkerServer(worker, loop)
    listener = await loop.create_server(server.protocol, "127.0.0.1", 0)
    address = Address(*listener.sockets[0].getsockname())
    async with WorkerCommands(address) as commands:
        yield server, commands
    listener.close()
    server.crash()


async def grant(commands: WorkerCommands, fence: int) -> bool:
    """Grant the first keys for two seconds."""
    end = boottime() + HOLD_S
    return await commands.grant(0, 9, fence, end, "", lambda group: True)


async def test_a_grant_is_carried_out_late_after_a_newer_one(
    monkeypatch,
) -> None:
    """Guards against late grants that a worker takes below a fence it has seen."""
    monkeypatch.setattr(endpoint_commands, "GRANT_TIMEOUT_S", LATE_S / 2)
    events: list[Event] = []
    async with served_worker(events) as (server, commands):
        server.grant_fault = LateExecution(LATE_S)
        with pytest.raises(EndpointUnresponsiveError):
            await grant(commands, 3)
        assert events == []
        server.grant_fault = NoAnswer()
        with pytest.raises(EndpointUnresponsiveError):
            await grant(commands, 4)
        await until(lambda: len(events) == 2)
        taken, refused = events
    assert isinstance(taken, GrantTaken)
    assert isinstance(refused, GrantRefused)
    assert (taken.fence, refused.fence) == (4, 3)


async def test_the_time_of_a_late_grant_counts_from_its_arrival() -> None:
    """Guards against a checker in which a late grant holds keys for its full time."""
    now = 10.0
    events: list[Event] = []
    worker = Worker("i-1", 1, "keyed", lambda: now, events.append, clock_lag=0.02)
    assert worker.grant(0, 9, 3, 4.9, arrived_at=7.0) == 200
    assert events[0].until == pytest.approx(12.0)
    now = 12.1
    assert not worker.holds(5)
    assert isinstance(events[-1], HoldEnded)


async def test_a_heartbeat_answer_after_a_second_has_no_effect() -> None:
    """Guards against orders that are taken from late answers."""
    now = 10.0
    worker = Worker("i-1", 1, "keyed", lambda: now, print, by_heartbeat=True)
    answer = {"holds": [[0, 9, 1, ""]], "holdS": 4.0}
    assert not worker.take_answer(answer, 8.9)
    assert not worker.holds(5)
    worker.take_answer(answer, 9.5)
    assert worker.holds(5)


async def test_further_connections_are_reset() -> None:
    """Guards against a checker whose workers accept any number of connections."""
    async with served_worker([]) as (server, commands):
        server.max_connections = 0
        with pytest.raises((EndpointUnresponsiveError, GrantDelayedError)):
            await grant(commands, 3)
        server.max_connections = 1
        await asyncio.sleep(LATE_S)
        assert await grant(commands, 3)
        assert len(server.connections) == 1


async def test_idle_connections_are_closed() -> None:
    """Guards against a checker whose workers keep idle connections for ever."""
    async with served_worker([]) as (server, commands):
        server.idle_timeout_s = LATE_S / 2
        assert await grant(commands, 3)
        await until(lambda: not server.connections)


async def test_a_frozen_worker_carries_commands_out_after_the_thaw() -> None:
    """Guards against a checker in which frozen workers answer."""
    async with served_worker([]) as (server, commands):
        assert await grant(commands, 3)
        server.freeze()
        granting = asyncio.ensure_future(grant(commands, 4))
        await asyncio.sleep(LATE_S / 4)
        assert not granting.done()
        server.thaw()
        assert await granting
