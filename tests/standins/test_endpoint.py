"""Tests that the stand-in endpoint fails in the ways that other tests rely on."""

import asyncio
import signal
import sys

import aiohttp
import pytest
from aiohttp import web

from sesamepost.internal.clock import boottime
from sesamepost.standins.endpoint import EndpointStandIn

WAIT_S = 5.0


def headers(key="k", epoch=5, request_id="r", **more):
    return {
        "Sesamepost-Key": key,
        "Sesamepost-Partition": "3",
        "Sesamepost-Epoch": str(epoch),
        "X-Request-Id": request_id,
        **{name.replace("_", "-"): str(value) for name, value in more.items()},
    }


async def post(session, endpoint, **values):
    async with session.post(
        endpoint.url + "/book", data=b"12345", headers=headers(**values)
    ) as response:
        return response.status, response.headers, await response.read()


async def grant(session, endpoint, incarnation, valid_for_s=60):
    body = {
        "service": endpoint.service,
        "incarnation": incarnation,
        "valid_until_ns": int((boottime() + valid_for_s) * 1e9),
    }
    async with session.post(endpoint.url + "/sesamepost/grant", json=body) as response:
        return response.status


async def wait_until(condition):
    async with asyncio.timeout(WAIT_S):
        while True:
            if condition():
                return
            await asyncio.sleep(0.005)


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as session:
        yield session


async def test_responses_identify_their_request(session):
    # Guards against responses that cannot reveal a mix-up of requests.
    async with EndpointStandIn("lookup", fenced=False, name="e1") as endpoint:
        async with session.post(
            endpoint.url + "/book", data=b"12345", headers=headers()
        ) as response:
            answer = await response.json()
        await post(session, endpoint)
        async with session.get(endpoint.url + "/control") as response:
            status = await response.json()
    assert answer == {
        "service": "lookup",
        "key": "k",
        "epoch": 5,
        "endpoint": "e1",
        "body_length": 5,
        "request_id": "r",
    }
    assert status["executions"] == [
        {"key": "k", "request_id": "r", "count": 2, "finished": 2}
    ]


async def test_a_request_beyond_the_slots_is_shed_as_not_run(session):
    # Guards against a stand-in that hides a router which exceeds the endpoint's slots.
    async with EndpointStandIn("s", slots=2, fenced=False) as endpoint:
        endpoint.control(freeze=True, work_ms=1)
        running = [
            asyncio.create_task(post(session, endpoint, request_id=str(i)))
            for i in range(3)
        ]
        await wait_until(lambda: endpoint.counters["most_connections"] == 3)
        endpoint.control(freeze=False)
        answers = await asyncio.gather(*running)
    statuses = sorted(status for status, *_ in answers)
    assert statuses == [200, 200, 503]
    assert [h.get("Sesamepost-Outcome") for s, h, _ in answers if s == 503] == [
        "not-run"
    ]
    assert len(endpoint.executions) == endpoint.counters["most_requests"] == 2


async def test_expired_work_does_not_start_after_a_freeze(session):
    # Guards against a resumed endpoint that runs work whose owner was replaced.
    async with EndpointStandIn("s", fenced=False) as endpoint:
        endpoint.control(freeze=True)
        expires = int((boottime() + 0.05) * 1e9)
        call = asyncio.create_task(
            post(session, endpoint, Sesamepost_Expires_Boottime_Ns=expires)
        )
        await wait_until(lambda: boottime() * 1e9 > expires)
        endpoint.control(freeze=False)
        status, answer_headers, _ = await call
    assert (status, answer_headers["Sesamepost-Outcome"]) == (503, "not-run")
    assert endpoint.executions == {}


async def test_a_fenced_endpoint_needs_a_grant_and_refuses_an_older_epoch(session):
    # Guards against accepting work from an owner that was replaced.
    async with EndpointStandIn("s") as endpoint:
        assert (await post(session, endpoint))[0] == 503
        assert await grant(session, endpoint, incarnation=1) == 204
        assert (await post(session, endpoint, epoch=5))[0] == 200
        assert (await post(session, endpoint, epoch=4))[0] == 503
        assert await grant(session, endpoint, incarnation=2, valid_for_s=-1) == 204
        assert await grant(session, endpoint, incarnation=1) == 409
        assert (await post(session, endpoint, epoch=6))[0] == 503
        assert endpoint.counters["begun"] == 1


async def test_closed_connections_cancel_work_and_cut_answers_end_early(session):
    # Guards against a stand-in that cannot simulate cancelled or truncated responses.
    async with EndpointStandIn("s", fenced=False, work_ms=60_000) as endpoint:
        call = asyncio.create_task(post(session, endpoint))
        await wait_until(lambda: endpoint.in_progress)
        call.cancel()
        await wait_until(lambda: endpoint.counters["cancelled"])
        assert endpoint.in_progress == 0
        endpoint.control(work_ms=0, cut_answers=True, answer_bytes=4096)
        with pytest.raises(aiohttp.ClientPayloadError):
            await post(session, endpoint)
        status, *_ = await post(session, endpoint, Sesamepost_Timeout_Ms=0)
        assert status == 503


async def test_announcements_can_misreport_load_and_end_after_draining():
    # Guards against a drained endpoint that stops without notifying its daemon.
    reports = []

    async def announced(request):
        reports.append(await request.json() if request.method == "PUT" else None)
        return web.Response()

    app = web.Application()
    app.router.add_route("*", "/v1/endpoints/s", announced)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    url = f"http://127.0.0.1:{runner.addresses[0][1]}"
    try:
        async with EndpointStandIn("s", announce=url, cold_s=60) as endpoint:
            await wait_until(lambda: reports)
            endpoint.control(reported_load=0.01)
            await endpoint.drain(quiet_s=0.01)
    finally:
        await runner.cleanup()
    assert reports[0] == {
        "url": endpoint.url,
        "fenced": True,
        "slots": 6,
        "connections": 110,
        "state": "cold",
        "load": 0.0,
    }
    assert (reports[-2]["state"], reports[-2]["load"]) == ("draining", 0.01)
    assert reports[-1] is None


async def test_a_late_report_shows_an_earlier_load():
    # Guards against a ``report_lag_s`` that has no effect.
    endpoint = EndpointStandIn("s", slots=2)
    endpoint.control(report_lag_s=2.0)
    loads = []
    for second in range(5):
        endpoint.in_progress = int(second >= 1)
        loads.append(endpoint._reported_load(float(second)))
    assert loads == [0.0, 0.0, 0.0, 0.5, 0.5]


async def test_the_process_prints_ready_and_stops_on_sigterm(session):
    # Guards against a command line that fails to parse and a shutdown that hangs.
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "sesamepost.standins.endpoint"),
        *("--service", "s", "--no-fenced", "--drain-quiet-s", "0.1"),
        stdout=asyncio.subprocess.PIPE,
    )
    async with asyncio.timeout(10):
        word, service, url = (await process.stdout.readline()).decode().split()
        async with session.post(url + "/x", headers=headers()) as response:
            assert (word, service, response.status) == ("ready", "s", 200)
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
