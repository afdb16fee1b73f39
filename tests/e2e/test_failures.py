"""Failures of endpoints, daemons and the store in one event loop."""

import asyncio
import json
from dataclasses import replace

import aiohttp

from sesamepost.internal.clock import boottime
from tests.e2e.local import BRANCH, running_fleet

MAX_OUTAGE_S = 4.0
NO_NEW_WORK_AFTER_S = 3.0


async def crash(vm):
    """End a daemon without any step of a planned stop, as the loss of its VM would."""
    vm.run_task.cancel()
    for task in vm.daemon.tasks:
        task.cancel()
    vm.daemon.leadership.lease = ""
    await vm.stack.aclose()


async def wait_until_served(fleet, vm, key):
    """Return the seconds until a request for ``key`` succeeds."""
    started = boottime()
    async with asyncio.timeout(15):
        while True:
            reply = await fleet.send(vm, key, Sesamepost_Timeout_Ms="300")
            if reply.status == 200:
                return boottime() - started


def key_owned_by(fleet, vm, prefix="key"):
    return next(
        key
        for key in (f"{prefix}-{number}" for number in range(1000))
        if fleet.owner_vm(key) is vm
    )


async def test_keys_of_a_lost_vm_are_served_within_the_recovery_target():
    # Guards against partitions that have no owner for too long after a VM is lost.
    async with running_fleet(vms=4) as fleet:
        *others, lost = fleet.vms
        key = key_owned_by(fleet, lost)
        before = list(others[0].daemon.views.assignments["ledger"].owners)
        index = (
            others[0].daemon.views.assignments["ledger"].nodes.index(lost.daemon.node)
        )
        await crash(lost)
        elapsed = await wait_until_served(fleet, others[0], key)
        after = others[0].daemon.views.assignments["ledger"].owners
        moved = sum(a != b for a, b in zip(before, after, strict=True))
        assert elapsed < MAX_OUTAGE_S
        assert moved == before.count(index), "only partitions of the lost VM may move"


async def test_leases_do_not_lapse_while_a_fleet_grows_and_witnesses_change():
    # Guards against a lapse until new witnesses have answered: a proposed set counts
    # immediately, so the lease must be renewed at its witnesses before the proposal.
    async with running_fleet(vms=5) as fleet:
        memberships = [vm.daemon.membership for vm in fleet.vms]
        await fleet.wait_until(
            lambda: all(len(m.holder.recorded.witnesses) == 3 for m in memberships)
        )
        assert sum(m.counters["witness_changes"] for m in memberships) > 0
        assert [m.counters["lease_lapses"] for m in memberships] == [0] * 5


async def test_a_resubmission_after_an_unplanned_loss_does_not_run_again():
    # Guards against a booking that is made twice because its record was lost.
    async with running_fleet(vms=4) as fleet:
        *others, lost = fleet.vms
        key = key_owned_by(fleet, lost)
        token = (await fleet.send(others[0], key)).headers["Sesamepost-Born"]
        headers = {
            "Sesamepost_Idempotency_Key": "visit-1",
            "Sesamepost_Born": token,
            "X_Request_Id": "visit-1",
        }
        assert (await fleet.send(others[0], key, **headers)).status == 200
        await crash(lost)
        await wait_until_served(fleet, others[0], key)
        again = await fleet.send(others[0], key, **headers)
        assert (again.kind, again.outcome) == ("duplicate_unknown", "unknown")
        no_token = {**headers, "Sesamepost_Born": ""}
        again = await fleet.send(others[1], key, **no_token)
        assert (again.kind, again.outcome) == ("duplicate_unknown", "unknown")
        assert fleet.execution_count("visit-1") == 1


async def test_a_first_submission_with_a_fresh_token_runs_right_after_a_loss():
    # Guards against first submissions that are refused for 600 s after each loss.
    async with running_fleet(vms=4) as fleet:
        *others, lost = fleet.vms
        key = key_owned_by(fleet, lost)
        await crash(lost)
        await wait_until_served(fleet, others[0], key)
        token = (await fleet.send(others[0], key)).headers["Sesamepost-Born"]
        reply = await fleet.send(
            others[1],
            key,
            Sesamepost_Idempotency_Key="new",
            Sesamepost_Born=token,
            X_Request_Id="new",
        )
        assert reply.status == 200
        assert fleet.execution_count("new") == 1


async def test_a_planned_stop_cuts_off_no_request_and_keeps_the_records():
    # Guards against requests that a deployment interrupts, and against a resubmission
    # that runs again at the next owner.
    async with running_fleet(vms=3, work_ms=400) as fleet:
        *others, leaving = fleet.vms
        key = key_owned_by(fleet, leaving)
        headers = {"Sesamepost_Idempotency_Key": "sale-1", "X_Request_Id": "sale-1"}
        first = await fleet.send(others[0], key, **headers)
        running = [
            asyncio.create_task(fleet.send(vm, key, X_Request_Id=f"in-flight-{n}"))
            for n, vm in enumerate(fleet.vms)
        ]
        await fleet.wait_until(lambda: leaving.endpoint.in_progress > 0)
        leaving.stop.set()
        await asyncio.wait_for(leaving.run_task, 12)
        assert {(await task).status for task in running} == {200}
        begun = leaving.endpoint.counters["begun"]
        again = await fleet.send(others[1], key, **headers)
        assert again.headers["Sesamepost-Replayed"] == "yes"
        assert json.loads(again.body) == json.loads(first.body)
        assert leaving.endpoint.counters["begun"] == begun
        assert fleet.execution_count("sale-1") == 1


async def test_a_planned_stop_completes_while_callers_keep_sending():
    # Guards against a stop that takes its whole timeout because callers that ignore
    # readiness keep the daemon busy.
    async with running_fleet(vms=3) as fleet:
        leaving = fleet.vms[-1]
        replies = []

        async def keep_sending():
            while not leaving.run_task.done():
                replies.append(await fleet.send(leaving, f"key-{len(replies) % 20}"))

        callers = [asyncio.create_task(keep_sending()) for _ in range(4)]
        began = boottime()
        leaving.stop.set()
        await asyncio.wait_for(leaving.run_task, 12)
        assert boottime() - began < 5
        results = await asyncio.gather(*callers, return_exceptions=True)
        assert {reply.status for reply in replies} == {200}
        refused = (aiohttp.ClientConnectorError, type(None))
        assert all(isinstance(result, refused) for result in results), results


async def test_a_stop_that_times_out_keeps_the_lease():
    # Guards against a new owner while an endpoint still works on a request of the
    # previous one.
    async with running_fleet(vms=3, work_ms=4000, fenced=False) as fleet:
        leaving = fleet.vms[-1]
        key = key_owned_by(fleet, leaving)
        leaving.daemon.settings = replace(leaving.daemon.settings, stop_timeout_s=0.5)
        request = asyncio.create_task(fleet.send(leaving, key))
        await fleet.wait_until(lambda: leaving.endpoint.in_progress > 0)
        leaving.stop.set()
        await asyncio.wait_for(leaving.run_task, 5)
        assert not leaving.daemon.membership.holder.resigned
        request.cancel()


async def test_a_restarted_vm_keeps_its_keys_under_the_wait_policy():
    # Guards against partitions that move because of a short restart, and against a stop
    # that waits for moves that never happen.
    branch = BRANCH.replace("[team]", "[team]\nrestart = wait")
    async with running_fleet(vms=3, branch=branch) as fleet:
        await fleet.wait_until_settled()
        *others, leaving = fleet.vms
        key = key_owned_by(fleet, leaving)
        view = others[0].daemon.views.assignments
        owners = [view["ledger"].owner_of_partition(p).vm for p in range(16)]
        leaving.stop.set()
        await asyncio.wait_for(leaving.run_task, 5)
        await leaving.stack.aclose()
        fleet.vms.remove(leaving)
        held = asyncio.create_task(
            fleet.send(others[0], key, Sesamepost_Timeout_Ms="9000")
        )
        await fleet.add(leaving.endpoint.name, "fd-2")
        assert (await held).status == 200
        after = [view["ledger"].owner_of_partition(p).vm for p in range(16)]
        assert after == owners


async def test_a_draining_endpoint_gets_no_new_work_after_a_few_seconds():
    # Guards against requests to an endpoint that has announced that it is draining.
    async with running_fleet(vms=3) as fleet:
        leaving = fleet.vms[-1]
        key = key_owned_by(fleet, leaving)
        began = boottime()
        await leaving.endpoint.drain(quiet_s=0.5, timeout_s=10)
        async with asyncio.timeout(10):
            while boottime() - began < NO_NEW_WORK_AFTER_S + 1:
                assert (await fleet.send(fleet.vms[0], key)).status == 200
                await asyncio.sleep(0.05)
        last_ms = leaving.endpoint.counters["last_begun_ms_after_drain"]
        assert last_ms < NO_NEW_WORK_AFTER_S * 1000


async def test_an_endpoint_that_fails_alone_is_replaced_within_the_target():
    # Guards against waiting until announcements expire while the endpoint already
    # refuses connections.
    async with running_fleet(vms=3) as fleet:
        broken = fleet.vms[-1]
        key = key_owned_by(fleet, broken)
        for task in broken.endpoint.tasks:
            task.cancel()
        await broken.endpoint.runner.cleanup()
        assert await wait_until_served(fleet, fleet.vms[0], key) < MAX_OUTAGE_S


async def test_owners_serve_while_the_store_is_down_and_nothing_moves():
    # Guards against leases that lapse because the store is unavailable.
    async with running_fleet(vms=4) as fleet:
        keys = [key_owned_by(fleet, vm) for vm in fleet.vms]
        version = fleet.vms[0].daemon.views.assignments["ledger"].version
        fleet.store.faults.outage = True
        deadline = boottime() + 6
        while boottime() < deadline:
            for key in keys:
                assert (await fleet.send(fleet.vms[0], key)).status == 200
        assert fleet.vms[0].daemon.views.assignments["ledger"].version == version
        fleet.store.faults.outage = False
        for key in keys:
            assert (await fleet.send(fleet.vms[1], key)).status == 200


async def test_a_vm_lost_during_a_store_outage_is_replaced_after_it():
    # Guards against a controller that forgets suspicions on which it could not act.
    async with running_fleet(vms=4) as fleet:
        *others, lost = fleet.vms
        key = key_owned_by(fleet, lost)
        fleet.store.faults.outage = True
        await crash(lost)
        await fleet.wait_until(
            lambda: sum(vm.daemon.membership.counters["suspects_sent"] for vm in others)
        )
        reply = await fleet.send(others[0], key, Sesamepost_Timeout_Ms="200")
        assert reply.outcome == "not-run"
        fleet.store.faults.outage = False
        assert await wait_until_served(fleet, others[0], key) < 2 * MAX_OUTAGE_S


async def test_slots_of_an_endpoint_are_never_exceeded():
    # Guards against a burst of requests that exceeds the limit of the endpoint.
    async with running_fleet(vms=2, work_ms=30, slots=4) as fleet:
        replies = await asyncio.gather(
            *(
                fleet.send(
                    fleet.vms[n % 2], f"key-{n % 40}", Sesamepost_Timeout_Ms="9000"
                )
                for n in range(160)
            )
        )
        assert {reply.status for reply in replies} == {200}
        for vm in fleet.vms:
            assert 0 < vm.endpoint.counters["most_requests"] <= 4
            assert vm.endpoint.counters["shed"] == 0
