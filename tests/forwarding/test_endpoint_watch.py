"""Which incarnation of the endpoint is accepted, and when it counts as ended."""

import asyncio

import pytest
from structlog.testing import capture_logs

from sesamepost.internal.coordination.nodes import EndpointInfo
from sesamepost.internal.forwarding import endpoint_watch
from sesamepost.internal.forwarding.endpoint_pool import EndpointPool, Listening
from sesamepost.internal.forwarding.endpoint_watch import (
    CHECK_INTERVAL_S,
    EndpointWatch,
)
from sesamepost.internal.wire.pool import Address
from tests.forwarding.test_endpoint_connection import NAMES
from tests.waiting import until


def info(born: int, ready: bool = True, name: str = "i-1") -> EndpointInfo:
    return EndpointInfo("desk", name, born, 6, "v1", ready)


@pytest.fixture
def watch(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(endpoint_watch, "boottime", lambda: now[0])
    changes = []
    found = EndpointWatch(
        EndpointPool(Address("127.0.0.1", 1), NAMES), NAMES, changes.append
    )
    found.now = now
    found.changes = changes
    return found


async def let_pass(watch: EndpointWatch, duration_s: float) -> None:
    """Let time pass, in which the node runs and hears nothing."""
    end = watch.now[0] + duration_s
    while watch.now[0] < end:
        watch.now[0] += CHECK_INTERVAL_S
        await watch.step()


def test_a_delayed_heartbeat_of_an_earlier_incarnation_is_ignored(watch):
    watch.note_heartbeat(info(20, name="i-2"), 5)
    watch.note_heartbeat(info(10), 99)
    assert watch.endpoint == info(20, name="i-2")


def test_an_earlier_start_is_accepted_once_the_later_incarnation_is_silent(watch):
    # The clock of a VM may step back, so a new incarnation may look older.
    watch.note_heartbeat(info(20, name="i-2"), 5)
    watch.now[0] += 3.0
    watch.note_heartbeat(info(10), 1)
    assert watch.endpoint == info(10)


def test_a_late_heartbeat_does_not_undo_a_leave(watch):
    # Guards against requests to an endpoint whose leave was acknowledged.
    watch.note_heartbeat(info(10), 1)
    watch.note_leave("i-1", 10)
    watch.note_heartbeat(info(10), 2)
    assert not watch.endpoint.is_ready
    watch.note_heartbeat(info(30), 1)
    assert watch.endpoint.is_ready


def test_an_older_sequence_of_the_same_incarnation_is_ignored(watch):
    watch.note_heartbeat(info(10, ready=False), 7)
    watch.note_heartbeat(info(10), 6)
    assert not watch.endpoint.is_ready


def test_the_leave_of_another_endpoint_is_ignored(watch):
    watch.note_heartbeat(info(10), 1)
    watch.note_leave("i-other", 10)
    assert watch.endpoint.is_ready


@pytest.mark.parametrize(
    ("listening", "gone"), [(Listening.NO, True), (Listening.UNKNOWN, False)]
)
async def test_only_a_closed_port_proves_that_the_endpoint_ended(
    watch, monkeypatch, listening, gone
):
    # An unresponsive endpoint may still hold keys and recover.
    async def probe() -> Listening:
        return listening

    monkeypatch.setattr(watch.pool, "probe", probe)
    monkeypatch.setattr(watch, "interval_s", 0.01)
    watch.note_heartbeat(info(10), 1)
    await let_pass(watch, watch.end_silence_s)
    watch.suspect()
    async with watch:
        await until(lambda: not watch.endpoint.is_ready)
    assert watch.changes[-1] is gone


async def test_an_endpoint_ended_only_once_its_heartbeats_have_stopped(
    watch, monkeypatch
):
    # Guards against OWNER: an endpoint that resets and refuses all connections and goes
    # on sending heartbeats was taken for ended.
    async def probe() -> Listening:
        return Listening.NO

    monkeypatch.setattr(watch.pool, "probe", probe)
    watch.note_heartbeat(info(10), 1)
    watch.suspect()
    await watch.step()
    assert not watch.endpoint.is_ready
    await let_pass(watch, watch.end_silence_s - CHECK_INTERVAL_S)
    assert watch.changes[-1] is False
    watch.note_heartbeat(info(10), 2)
    assert watch.endpoint.is_ready
    watch.suspect()
    await watch.step()
    await let_pass(watch, watch.end_silence_s - CHECK_INTERVAL_S)
    assert watch.changes[-1] is False
    await let_pass(watch, CHECK_INTERVAL_S)
    assert watch.changes[-1] is True


async def test_a_process_that_has_just_started_takes_no_endpoint_for_ended(
    watch, monkeypatch
):
    # Guards against OWNER: a new process knows the endpoint from the entry of the
    # previous one, and has not run for long enough to have received a heartbeat.
    async def probe() -> Listening:
        return Listening.NO

    monkeypatch.setattr(watch.pool, "probe", probe)
    watch._update(info(10), is_gone=False, is_confirmed=False)
    assert not await watch.check_ended()
    await let_pass(watch, watch.end_silence_s)
    assert watch.changes[-1] is True


async def test_an_endpoint_that_listens_stays_ready(watch, monkeypatch):
    # An endpoint that cannot reach the control port may still accept requests.
    probed = asyncio.Event()

    async def probe() -> Listening:
        probed.set()
        return Listening.YES

    monkeypatch.setattr(watch.pool, "probe", probe)
    monkeypatch.setattr(watch, "interval_s", 0.01)
    watch.note_heartbeat(info(10), 1)
    watch.now[0] += 60.0
    async with watch:
        await probed.wait()
    assert watch.endpoint.is_ready


def test_a_leave_counts_before_the_first_heartbeat(watch):
    # Guards against a process that has just started, confirms the leave of its endpoint
    # and then accepts a late heartbeat. Found on Valstock, DRAIN 6, with a heartbeat
    # that was 2.6 s late.
    watch.note_leave("i-1", 10)
    watch.note_heartbeat(info(10), 4)
    assert not watch.endpoint.is_ready
    watch.note_heartbeat(info(10), 5)
    assert not watch.endpoint.is_ready
    watch.note_heartbeat(info(20), 1)
    assert watch.endpoint.is_ready


def test_heartbeats_are_logged_only_if_they_contradict_what_is_known(watch):
    # Guards against logs that do not tell whose heartbeat made the next incarnation the
    # owner of the ranges of one that still holds them.
    with capture_logs() as logs:
        watch.note_heartbeat(info(10), 1)
        watch.note_heartbeat(info(10), 2)
        watch.note_heartbeat(info(10), 3)
        watch.now[0] += 0.5
        watch.note_heartbeat(info(10), 2)
        watch.note_heartbeat(info(20, name="i-2"), 1)
        watch.note_heartbeat(info(10), 4)
    lines = [line for line in logs if line["event"].startswith("heartbeat")]
    assert [(line["event"], line["reason"], line["born"]) for line in lines] == [
        ("heartbeat_of_new_incarnation", None, 10),
        ("heartbeat_rejected", "sequence", 10),
        ("heartbeat_of_new_incarnation", None, 20),
        ("heartbeat_rejected", "born", 10),
    ]
    assert [line["heartbeat_age_s"] for line in lines] == [None, 0.5, 0.5, 0.0]
    assert lines[2]["current_born"] == 10


async def test_a_heartbeat_of_an_incarnation_taken_for_ended_is_logged(
    watch, monkeypatch
):
    # Guards against a refused connection that passes unseen for the end of a worker.
    async def probe() -> Listening:
        return Listening.NO

    monkeypatch.setattr(watch.pool, "probe", probe)
    with capture_logs() as logs:
        watch.note_heartbeat(info(10), 1)
        await let_pass(watch, watch.end_silence_s)
        assert await watch.check_ended()
        watch.note_heartbeat(info(10), 2)
        watch.note_heartbeat(info(10), 3)
    assert [line["event"] for line in logs].count("heartbeat_after_end") == 1
    ended = next(line for line in logs if line["event"] == "endpoint_not_listening")
    assert (ended["born"], ended["listening"]) == (10, "no")
    assert ended["open_connections"] == 0


async def test_a_closed_port_is_no_end_while_connections_to_the_endpoint_are_open(
    watch, monkeypatch
):
    # Guards against OWNER: an endpoint that refuses connections goes on over its open
    # ones, while its keys are given to others.
    ends: list[bool] = []

    async def probe() -> Listening:
        return Listening.NO

    monkeypatch.setattr(watch.pool, "probe", probe)
    watch.on_change = ends.append
    watch.note_heartbeat(info(10), 1)
    watch.count_open = lambda: 1
    await let_pass(watch, watch.end_silence_s)
    assert not await watch.check_ended()
    assert not watch.endpoint.is_ready
    watch.note_heartbeat(info(10), 2)
    assert not any(ends)
    watch.count_open = lambda: 0
    await let_pass(watch, watch.end_silence_s)
    assert ends[-1] is True
    assert not any(ends[:-1])
