"""Commands of ``sesamepostctl`` and their effects on a running fleet."""

import asyncio
import time

import pytest

from sesamepost.internal.cli import commands
from sesamepost.internal.cli.context import Context
from sesamepost.internal.cli.errors import CommandError, ExitCode
from sesamepost.internal.controller.capacity import owners_of
from sesamepost.internal.settings.claims import claim_services
from sesamepost.internal.store.envelope import write_document
from sesamepost.internal.store.http import HttpStore
from tests.e2e.local import BRANCH, WAIT_TIMEOUT_S, running_fleet
from tests.operations.metrics import read_requests

IN_FORCE_WITHIN_S = 7.0
CHANGED_BRANCH = BRANCH + "queue_length = 99\n"
INVALID_BRANCH = BRANCH + "slots = many\n"


class Operator:
    """Runs commands with the store of a fleet and one of its daemons."""

    def __init__(self, fleet, path, vm=0, name="ayesha"):
        self.context = Context(fleet.store.url, fleet.vms[vm].operators, False)
        self.fleet = fleet
        self.path = path / f"{name}.ini"
        self.name = name

    async def put(self, text, version, team="team"):
        self.path.write_text(text)
        output = await commands.put(
            self.context, team, self.path, if_version=version, author=self.name
        )
        return output.payload["version"]

    async def wait(self, version, team="team", timeout_s=IN_FORCE_WITHIN_S):
        output = await commands.wait(self.context, team, version, timeout_s=timeout_s)
        return output.payload["nodes"]

    async def change_vm(self, command, vm, reason):
        output = await command(
            self.context, vm, team="team", reason=reason, author=self.name
        )
        return output.payload

    async def expect_refusal(self, awaitable, code=ExitCode.REFUSED):
        with pytest.raises(CommandError) as excinfo:
            await awaitable
        assert excinfo.value.code is code, excinfo.value
        return excinfo.value


def owning_vms(fleet):
    """Return the VMs that own partitions, or None while the daemons disagree."""
    views = [vm.daemon.views.assignments["ledger"] for vm in fleet.vms]
    names = {frozenset(node.vm for node in owners_of(view)) for view in views}
    return set(names.pop()) if len(names) == 1 else None


async def test_a_change_is_in_force_everywhere_within_seconds(tmp_path):
    # Guards against a daemon that uses the old settings after ``wait`` has returned.
    async with running_fleet(vms=3) as fleet:
        operator = Operator(fleet, tmp_path, vm=2)
        operator.path.write_text(CHANGED_BRANCH)
        checked = await commands.check(operator.context, operator.path, team="team")
        assert checked.payload["services"] == ["ledger"]
        started = time.monotonic()
        version = await operator.put(CHANGED_BRANCH, 1)
        assert await operator.wait(version) == 3
        assert time.monotonic() - started < IN_FORCE_WITHIN_S
        for vm in fleet.vms:
            assert vm.daemon.views.in_force["settings/team"] == version == 2
            assert vm.daemon.views.services["ledger"].queue_length == 99
        shown = await commands.show(operator.context, "team")
        assert shown.payload == {
            "team": "team",
            "version": 2,
            "author": "ayesha",
            "text": CHANGED_BRANCH,
        }


async def test_a_second_team_cannot_take_a_claimed_service(tmp_path):
    # Guards against a claim that daemons do not receive, and against a team that takes
    # over a service of another one.
    async with running_fleet(vms=2) as fleet:
        operator = Operator(fleet, tmp_path)
        assert await operator.put("[service:shop]\n", 0, "lahore") == 1
        assert await operator.wait(1, "lahore") == 2
        teams = [vm.daemon.views.branches_by_service["shop"].team for vm in fleet.vms]
        assert teams == ["lahore", "lahore"]
        stolen = "[service:shop]\n[service:ledger]\n"
        await operator.expect_refusal(operator.put(stolen, 1, "lahore"))
        assert (await fleet.send(fleet.vms[1], "k")).status == 200


async def test_members_versions_and_owner_agree_with_the_daemons(tmp_path):
    # Guards against answers of the operators' port that the tool cannot parse.
    async with running_fleet(vms=3) as fleet:
        context = Operator(fleet, tmp_path, vm=1).context
        members = (await commands.members(context)).payload
        nodes = [str(vm.daemon.node) for vm in fleet.vms]
        assert [item["node"] for item in members["fleet"]] == nodes
        assert {item["state"] for item in members["fleet"]} == {"active"}
        assert members["controller"] in nodes
        await Operator(fleet, tmp_path).wait(1)
        versions = (await commands.versions(context)).payload
        assert versions["documents"]["settings/team"] == 1
        assert versions["documents"]["services"] == 1
        assert set(versions["nodes"]) == {"vm-0", "vm-1", "vm-2"}
        assert versions["rejected"] == {}
        for key in ("a", "b c", "d/ü"):
            owner = (await commands.owner(context, "ledger", key)).payload["owner"]
            assert owner == str(fleet.owner_vm(key).daemon.node)
        await Operator(fleet, tmp_path).expect_refusal(
            commands.owner(context, "none", "a"), ExitCode.FAILED
        )


async def test_a_drained_vm_owns_nothing_until_it_is_put_back(tmp_path):
    # Guards against a drain that leaves work on the VM or interrupts a request.
    async with running_fleet(vms=3) as fleet:
        operator = Operator(fleet, tmp_path)
        drained = await operator.change_vm(commands.drain, "vm-1", "deploy")
        assert drained["changed"]
        assert not (await operator.change_vm(commands.drain, "vm-1", "deploy"))[
            "changed"
        ]
        assert await operator.wait(drained["version"]) == 3
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while owning_vms(fleet) != {"vm-0", "vm-2"}:
                for vm in fleet.vms:
                    reply = await fleet.send(vm, f"key-{time.monotonic()}")
                    assert reply.status == 200
        await operator.expect_refusal(
            operator.change_vm(commands.undrain, "vm-1", "maintenance")
        )
        back = await operator.change_vm(commands.undrain, "vm-1", "deploy")
        assert await operator.wait(back["version"]) == 3
        await fleet.wait_until(lambda: owning_vms(fleet) == {"vm-0", "vm-1", "vm-2"})


async def test_the_last_endpoint_in_service_is_not_drained(tmp_path):
    # Guards against a drain that leaves no endpoint to serve the keys.
    async with running_fleet(vms=2) as fleet:
        operator = Operator(fleet, tmp_path)
        first = await operator.change_vm(commands.drain, "vm-0", "maintenance")
        await operator.expect_refusal(
            operator.change_vm(commands.drain, "vm-1", "deploy")
        )
        await operator.wait(first["version"])
        await fleet.wait_until(lambda: owning_vms(fleet) == {"vm-1"})
        await operator.expect_refusal(
            operator.change_vm(commands.drain, "vm-1", "deploy")
        )
        assert (await fleet.send(fleet.vms[0], "k")).status == 200


async def test_one_of_two_concurrent_operators_gets_a_conflict(tmp_path):
    # Guards against an operator who unknowingly overwrites another one's change.
    async with running_fleet(vms=2) as fleet:
        operators = [
            Operator(fleet, tmp_path, vm, name)
            for vm, name in enumerate(("ayesha", "bilal"))
        ]
        results = await asyncio.gather(
            *(item.put(f"{CHANGED_BRANCH}# {item.name}\n", 1) for item in operators),
            return_exceptions=True,
        )
        (conflict,) = [item for item in results if isinstance(item, CommandError)]
        assert conflict.code is ExitCode.CONFLICT
        winner = operators[results.index(2)]
        assert conflict.details["author"] == winner.name
        assert await operators[0].wait(2) == 2
        text = (await commands.show(winner.context, "team")).text
        assert text.endswith(f"# {winner.name}\n")


async def test_an_invalid_branch_is_refused_before_any_write(tmp_path):
    # Guards against a change that takes effect in part.
    async with running_fleet(vms=1) as fleet:
        operator = Operator(fleet, tmp_path)
        operator.path.write_text(INVALID_BRANCH)
        await operator.expect_refusal(
            commands.check(operator.context, operator.path, team="team")
        )
        await operator.expect_refusal(operator.put(INVALID_BRANCH, 1))
        assert (await commands.show(operator.context, "team")).payload["version"] == 1


async def test_a_rejected_version_leaves_the_last_valid_one_in_force(tmp_path):
    # Guards against an invalid branch in the store that affects the fleet, and against
    # a ``wait`` that does not report why the version never takes effect.
    async with running_fleet(vms=3) as fleet:
        operator = Operator(fleet, tmp_path, vm=1)
        assert await fleet.put("team", INVALID_BRANCH + "queue_length = 1\n", 1) == 2
        started = time.monotonic()
        error = await operator.expect_refusal(operator.wait(2, timeout_s=30))
        assert time.monotonic() - started < IN_FORCE_WITHIN_S
        assert "slots" in error.details["reason"]
        for vm in fleet.vms:
            await fleet.wait_until(lambda vm=vm: vm.daemon.views.rejected)
            assert vm.daemon.views.in_force["settings/team"] == 1
            assert vm.daemon.views.services["ledger"].slots == 4
            assert (await fleet.send(vm, "k")).status == 200
        assert await operator.wait(1) == 3, "the last valid version is not in force"
        versions = (await commands.versions(operator.context)).payload
        assert versions["rejected"]["settings/team"].startswith("version 2: ")
        assert await operator.put(CHANGED_BRANCH, 2) == 3
        assert await operator.wait(3) == 3
        assert (await commands.versions(operator.context)).payload["rejected"] == {}


async def test_a_branch_takes_effect_once_its_services_are_claimed(tmp_path):
    # Guards against a service that is in force while another team can still claim it.
    async with running_fleet(vms=2) as fleet, HttpStore(fleet.store.url) as store:
        operator = Operator(fleet, tmp_path)
        key, text = "settings/lahore", b"[service:shop]\n"
        await write_document(store, key, text, "other program", 0)
        await fleet.wait_until(
            lambda: all(key in vm.daemon.views.waiting for vm in fleet.vms)
        )
        late = operator.wait(1, "lahore", timeout_s=0)
        error = await operator.expect_refusal(late, ExitCode.UNAVAILABLE)
        assert "no team's claim of shop is known yet" in str(error)
        await claim_services(store, "lahore", ["shop"], "ayesha")
        assert await operator.wait(1, "lahore") == 2
        assert all("shop" in vm.daemon.views.services for vm in fleet.vms)


async def test_the_metrics_of_a_daemon_count_its_callers_requests(tmp_path):
    # Guards against a request histogram that is not updated or has wrong labels.
    async with running_fleet(vms=2) as fleet:
        for number in range(5):
            assert (await fleet.send(fleet.vms[0], f"k{number}")).status == 200
        assert (await fleet.send(fleet.vms[0], "")).outcome == "not-run"
        async with fleet.session.get(f"{fleet.vms[0].operators}/metrics") as answer:
            counts = read_requests(await answer.text())
        assert counts == {
            ("team", "ledger", "default", "ran"): 5,
            ("", "", "default", "not-run"): 1,
        }
