"""Requests through a whole fleet: correct answers and outcomes, and single runs."""

import asyncio
import json

import aiohttp
import pytest

from tests.e2e.local import running_fleet

MIB = 1 << 20


async def test_a_request_sent_to_any_daemon_reaches_the_one_owner():
    # Guards against daemons that disagree about the owner of a key.
    async with running_fleet(vms=3) as fleet:
        for number in range(12):
            key = f"key-{number}"
            replies = [await fleet.send(vm, key) for vm in fleet.vms]
            answers = [json.loads(reply.body) for reply in replies]
            assert {reply.status for reply in replies} == {200}
            assert {a["endpoint"] for a in answers} == {
                fleet.owner_vm(key).endpoint.name
            }
            assert {a["key"] for a in answers} == {key}


@pytest.mark.parametrize(
    ("headers", "kind"),
    [
        ({"Sesamepost_Service": ""}, "missing_service"),
        ({"Sesamepost_Service": "none"}, "unknown_service"),
        ({"Sesamepost_Key": ""}, "missing_key"),
        ({"Sesamepost_Timeout_Ms": "soon"}, "bad_timeout"),
        ({"Sesamepost_Timeout_Ms": "600001"}, "bad_timeout"),
        ({"Sesamepost_Repeatable": "maybe"}, "bad_request"),
        ({"Sesamepost_Class": "none"}, "unknown_class"),
        (
            {"Sesamepost_Idempotency_Key": "i", "Sesamepost_Born": "x"},
            "bad_born_token",
        ),
    ],
)
async def test_bad_input_is_refused_as_not_run(headers, kind):
    # Guards against malformed requests that reach an endpoint or affect other requests.
    async with running_fleet(vms=1) as fleet:
        reply = await fleet.send(fleet.vms[0], "k", X_Request_Id="bad", **headers)
        assert (reply.kind, reply.outcome) == (kind, "not-run")
        assert fleet.execution_count("bad") == 0
        assert (await fleet.send(fleet.vms[0], "k")).status == 200


async def test_large_bodies_are_forwarded_whole_or_refused():
    # Guards against bodies and answers truncated on the stream between daemons.
    async with running_fleet(vms=2) as fleet:
        for vm in fleet.vms:
            vm.endpoint.control(answer_bytes=5 * MIB)
        for vm in fleet.vms:
            reply = await fleet.send(vm, "large", body=b"x" * (6 * MIB))
            assert reply.status == 200
            assert len(reply.body) == 5 * MIB
            assert json.loads(reply.body)["body_length"] == 6 * MIB
        reply = await fleet.send(fleet.vms[0], "large", body=b"x" * (8 * MIB + 1))
        assert (reply.kind, reply.outcome) == ("body_too_large", "not-run")


async def test_a_truncated_answer_is_never_forwarded_as_complete():
    # Guards against callers that mistake a part of an answer for all of it.
    async with running_fleet(vms=2) as fleet:
        for vm in fleet.vms:
            vm.endpoint.control(cut_answers=True)
        replies = [await fleet.send(vm, "cut") for vm in fleet.vms]
        assert {(r.kind, r.outcome) for r in replies} == {("answer_cut_off", "unknown")}


async def test_a_put_is_sent_only_once_to_an_endpoint_that_closes_the_connection():
    # Guards against the HTTP client's own retry of PUT on a reused connection.
    async with running_fleet(vms=1) as fleet:
        vm = fleet.vms[0]
        assert (await fleet.send(vm, "k", method="PUT")).status == 200
        vm.endpoint.control(cut_answers=True, work_ms=50)
        reply = await fleet.send(
            vm, "k", method="PUT", X_Request_Id="once", Sesamepost_Repeatable="no"
        )
        assert reply.outcome == "unknown"
        assert fleet.execution_count("once") == 1


async def test_one_idempotency_key_sent_to_two_vms_at_once_runs_once():
    # Guards against a duplicate booking if a caller's proxy sends a request twice.
    async with running_fleet(vms=3, work_ms=100) as fleet:
        replies = await asyncio.gather(
            *(
                fleet.send(
                    vm, "door", Sesamepost_Idempotency_Key="b-1", X_Request_Id="b-1"
                )
                for vm in fleet.vms
            )
        )
        assert {reply.status for reply in replies} == {200}
        assert len({reply.body for reply in replies}) == 1
        assert fleet.execution_count("b-1") == 1


async def test_a_timeout_after_sending_is_answered_as_unknown():
    # Guards against the outcome "not run" for a request that is in progress. The
    # endpoint does not answer at the deadline itself, which would state that it ran.
    async with running_fleet(vms=2, work_ms=2000) as fleet:
        for vm in fleet.vms:
            vm.endpoint.control(ignore_deadlines=True)
        for vm in fleet.vms:
            reply = await fleet.send(vm, "slow", Sesamepost_Timeout_Ms="300")
            assert (reply.kind, reply.outcome) == ("outcome_unknown", "unknown")


async def test_malformed_input_on_the_callers_port_affects_no_other_request():
    # Guards against invalid framing that stops the listener.
    async with running_fleet(vms=1) as fleet:
        vm = fleet.vms[0]
        reader, writer = await asyncio.open_connection(*vm.daemon.callers_address)
        writer.write(b"\x00\xff not http\r\n\r\n")
        assert b"400" in await asyncio.wait_for(reader.readline(), 5)
        writer.close()
        assert (await fleet.send(vm, "k")).status == 200


async def test_oversized_headers_are_refused():
    # Guards against headers of unbounded size.
    async with running_fleet(vms=1) as fleet:
        try:
            reply = await fleet.send(fleet.vms[0], "k", X_Large="x" * 40_000)
        except aiohttp.ClientError:
            return
        assert reply.status in (400, 431)
