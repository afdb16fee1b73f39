"""Network failures: regions that are disconnected and connections that go silent."""

import asyncio
from contextlib import contextmanager

from sesamepost.internal.clock import boottime
from sesamepost.internal.store.interface import StoreUnavailableError
from sesamepost.internal.wire.stream import StreamClosedError
from tests.e2e.local import running_fleet
from tests.e2e.test_failures import key_owned_by, wait_until_served

LONGER_THAN_ANY_LEASE_S = 5.0
LOCATIONS = [
    ("fd-a1", "r-a"),
    ("fd-a1", "r-a"),
    ("fd-a2", "r-a"),
    ("fd-b1", "r-b"),
    ("fd-b1", "r-b"),
    ("fd-b2", "r-b"),
]


@contextmanager
def disconnected(one_side, other_side, store_reachable_from):
    """Disconnect two sets of VMs from each other, and one of them from the store."""
    restore = []
    for vms, others in ((one_side, other_side), (other_side, one_side)):
        addresses = {vm.daemon.membership.own_record.address for vm in others}
        nodes = {vm.daemon.node for vm in others}
        for vm in vms:
            restore.append(_cut_pool(vm.daemon.pool, addresses, nodes))
            if vms is not store_reachable_from:
                restore.append(_cut_store(vm.daemon.store))
    try:
        yield
    finally:
        for undo in restore:
            undo()


def _cut_pool(pool, addresses, nodes):
    dial = pool._dial

    async def dial_unless_cut(address, expected):
        if address in addresses:
            raise StreamClosedError("the link is cut")
        return await dial(address, expected)

    pool._dial = dial_unless_cut
    for node, stream in list(pool.streams.items()):
        if node in nodes:
            stream.close("the link is cut")

    def undo():
        pool._dial = dial

    return undo


def _cut_store(store):
    call = store._call

    async def fail(*args, **options):
        raise StoreUnavailableError("the link is cut")

    store._call = fail

    def undo():
        store._call = call

    return undo


def has_majority_in_region(vm):
    holder, fleet = vm.daemon.membership.holder, vm.daemon.views.fleet
    region = vm.daemon.settings.region
    inside = [w for w in holder.recorded.witnesses if fleet.get(w).region == region]
    return len(inside) >= 2 and not holder.proposals


async def test_parted_regions_go_on_serving_the_keys_that_they_own():
    # Guards against leases that lapse, or keys that move, when two regions are
    # disconnected.
    async with running_fleet(vms=6, locations=LOCATIONS) as fleet:
        first, second = fleet.vms[:3], fleet.vms[3:]
        await fleet.wait_until(lambda: all(map(has_majority_in_region, fleet.vms)))
        # A move that was released before the cut would be written after the cut begins.
        await fleet.wait_until_settled()
        keys = {vm.endpoint.name: key_owned_by(fleet, vm) for vm in fleet.vms}
        owners = list(first[0].daemon.views.assignments["ledger"].owners)
        with disconnected(first, second, store_reachable_from=first):
            deadline = boottime() + LONGER_THAN_ANY_LEASE_S
            while boottime() < deadline:
                for vm in first:
                    key = keys[vm.endpoint.name]
                    assert (await fleet.send(first[0], key)).status == 200
                for vm in second:
                    key = keys[vm.endpoint.name]
                    assert (await fleet.send(second[0], key)).status == 200
            across = await fleet.send(
                first[0], keys[second[0].endpoint.name], Sesamepost_Timeout_Ms="200"
            )
            assert across.outcome == "not-run"
        for vm in fleet.vms:
            key = keys[vm.endpoint.name]
            assert await wait_until_served(fleet, first[0], key) < 4
            assert await wait_until_served(fleet, second[0], key) < 4
        assert list(first[0].daemon.views.assignments["ledger"].owners) == owners


async def test_a_silent_connection_is_replaced_within_seconds():
    # Guards against requests that wait forever on a connection whose other end no
    # longer reads it, although new connections work.
    async with running_fleet(vms=2) as fleet:
        sender, owner = fleet.vms
        key = key_owned_by(fleet, owner)
        assert (await fleet.send(sender, key)).status == 200
        silent_stream = sender.daemon.pool.streams[owner.daemon.node]
        owner.daemon.pool.streams[sender.daemon.node].transport.pause_reading()
        silent_stream.transport.pause_reading()
        began = boottime()
        reply = await fleet.send(
            sender, key, Sesamepost_Repeatable="yes", Sesamepost_Timeout_Ms="6000"
        )
        assert reply.status == 200
        assert boottime() - began < 4
        assert sender.daemon.pool.streams[owner.daemon.node] is not silent_stream


async def test_a_non_repeatable_request_on_a_silent_connection_is_unknown():
    # Guards against a second run of a request that was sent, and against the outcome
    # "not run" for it.
    async with running_fleet(vms=2) as fleet:
        sender, owner = fleet.vms
        key = key_owned_by(fleet, owner)
        assert (await fleet.send(sender, key)).status == 200
        sender.daemon.pool.streams[owner.daemon.node].transport.pause_reading()
        reply = await fleet.send(
            sender, key, Sesamepost_Timeout_Ms="6000", X_Request_Id="once"
        )
        assert (reply.kind, reply.outcome) == ("outcome_unknown", "unknown")
        assert fleet.execution_count("once") == 1


async def test_a_daemon_cut_off_from_all_others_stops_serving():
    # Guards against two owners of a key when a daemon cannot reach its witnesses.
    async with running_fleet(vms=4) as fleet:
        *others, isolated = fleet.vms
        key = key_owned_by(fleet, isolated)
        with disconnected(others, [isolated], store_reachable_from=others):
            elapsed = await wait_until_served(fleet, others[0], key)
            assert elapsed < 4
            reply = await fleet.send(
                isolated, key, Sesamepost_Timeout_Ms="200", X_Request_Id="parted"
            )
            assert reply.outcome == "not-run"
            assert fleet.execution_count("parted") == 0
        await asyncio.wait_for(isolated.daemon.membership.fenced.wait(), 10)
