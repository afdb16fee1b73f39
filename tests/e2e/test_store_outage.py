"""Node restarts and changes of the settings while the store is down."""

import asyncio

import pytest

from sesamepost.internal.cli import commands
from sesamepost.internal.cli.context import Context
from sesamepost.internal.controller.capacity import owners_of
from sesamepost.internal.identity import hash_key
from sesamepost.internal.store.interface import StoreUnavailableError
from tests.e2e.local import BRANCH, WAIT_TIMEOUT_S, running_fleet

CHANGED_BRANCH = BRANCH + "queue_length = 99\n"


def controller_vm(fleet):
    node = fleet.vms[0].daemon.views.controller.node
    return next(vm for vm in fleet.vms if vm.daemon.node == node)


def document_versions(vm):
    """Return the versions of all documents except ``controller``."""
    versions = dict(vm.daemon.views.in_force)
    versions.pop("controller", None)
    return versions


def keys_owned_by(others, count=6):
    """Return ``count`` keys that the VMs in ``others`` own."""
    assignment = others[0].daemon.views.assignments["ledger"]
    names = (f"key-{number}" for number in range(1000))
    owners = {other.daemon.node for other in others}
    keys = [name for name in names if assignment.find(hash_key(name)).owner in owners]
    return keys[:count]


def has_owners(fleet, vms):
    """Return whether all daemons agree that exactly ``vms`` own partitions."""
    nodes = {vm.daemon.node for vm in vms}
    views = [vm.daemon.views.assignments["ledger"] for vm in fleet.vms]
    return all(set(owners_of(view)) == nodes for view in views)


async def send_until_answered(fleet, vm, key):
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while True:
            reply = await fleet.send(vm, key)
            if reply.status == 200:
                return
            assert reply.outcome == "not-run", (key, reply.kind, reply.body)


@pytest.mark.parametrize("restarted", ["controller", "other"])
async def test_a_node_that_starts_in_an_outage_gets_all_documents_from_its_seeds(
    restarted,
):
    # Guards against a daemon that cannot route without the store, and against one that
    # never joins because its first attempts failed.
    async with running_fleet(vms=4) as fleet:
        leader = controller_vm(fleet)
        old = leader if restarted == "controller" else fleet.vms[fleet.vms[0] is leader]
        fleet.store.set_faults(outage=True)
        await fleet.remove(old)
        others = list(fleet.vms)
        settings = old.daemon.settings
        new = await fleet.add(
            settings.vm, settings.failure_domain, seeds=[vm.peers for vm in others]
        )
        await fleet.wait_until(
            lambda: document_versions(new) == document_versions(others[0])
        )
        assert {"settings/team", "services", "assignment/ledger", "fleet"} <= set(
            document_versions(new)
        )
        for key in keys_owned_by(others):
            reply = await fleet.send(new, key)
            assert reply.status == 200, reply.body
        assert not new.daemon.membership.joined.is_set(), (
            "the node joined although the store was down"
        )
        ready = f"{new.operators}/ready"
        async with fleet.session.get(ready) as answer:
            assert (answer.status, await answer.text()) == (
                503,
                "the node is not in the fleet yet\n",
            )
        fleet.store.set_faults(outage=False)
        for number in range(12):
            for vm in fleet.vms:
                await send_until_answered(fleet, vm, f"key-{number}")
        await fleet.wait_until(lambda: has_owners(fleet, fleet.vms))
        for number in range(12):
            for vm in fleet.vms:
                assert (await fleet.send(vm, f"key-{number}")).status == 200


async def test_a_change_in_an_outage_fails_and_takes_effect_once_when_retried(
    tmp_path,
):
    # Guards against a command that does not say whether the change was written, and
    # against a late attempt that writes the change a second time.
    async with running_fleet(vms=2) as fleet:
        context = Context(fleet.store.url, fleet.vms[0].operators, False)
        file = tmp_path / "team.ini"
        file.write_text(CHANGED_BRANCH)

        def put():
            return commands.put(context, "team", file, if_version=1, author="ayesha")

        def drain():
            return commands.drain(
                context, "vm-1", team="team", reason="deploy", author="ayesha"
            )

        fleet.store.set_faults(outage=True)
        for change in (put, drain, put):
            with pytest.raises(StoreUnavailableError, match="team was not written: "):
                await change()
        assert (await fleet.send(fleet.vms[1], "k")).status == 200
        for vm in fleet.vms:
            assert vm.daemon.views.in_force["settings/team"] == 1
        fleet.store.set_faults(outage=False)
        assert (await put()).payload["version"] == 2
        output = await commands.wait(context, "team", 2, timeout_s=7)
        assert output.payload["nodes"] == 2
        for vm in fleet.vms:
            assert vm.daemon.views.services["ledger"].queue_length == 99
        assert (await commands.show(context, "team")).payload["version"] == 2
