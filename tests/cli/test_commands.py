"""Commands under races between operators and failures of the store or the daemon."""

import asyncio

import pytest

from sesamepost.internal.cli import commands
from sesamepost.internal.cli.branches import read_branch
from sesamepost.internal.cli.context import Context
from sesamepost.internal.cli.errors import CommandError, ExitCode
from sesamepost.internal.settings.branch import parse_branch
from sesamepost.internal.settings.claims import CLAIMS_DOCUMENT
from sesamepost.internal.settings.model import VmState
from sesamepost.internal.store import envelope as envelope_module
from sesamepost.internal.store.envelope import write_document
from sesamepost.internal.store.interface import StoreUnavailableError

BRANCH = "# Water filters\n[service:ledger]\n[service:reminders]\n"


@pytest.fixture
def put(context, tmp_path):
    async def put_text(text, version, team="lahore", author="ayesha"):
        path = tmp_path / f"{author}.ini"
        path.write_text(text)
        return await commands.put(
            context, team, path, if_version=version, author=author
        )

    return put_text


@pytest.fixture
def drain(context):
    async def drain_vm(vm, reason="deploy", command=commands.drain):
        output = await command(
            context, vm, team="lahore", reason=reason, author="ayesha"
        )
        return output.payload

    return drain_vm


def undrain(drain, vm, reason):
    return drain(vm, reason, commands.undrain)


async def stored_vms(store):
    stored = await read_branch(store, "lahore")
    return stored.version, parse_branch("lahore", stored.text).ok.vms


def split_errors(results):
    errors = [item for item in results if isinstance(item, CommandError)]
    return [item for item in results if item not in errors], errors


async def expect_error(awaitable, code=ExitCode.REFUSED):
    with pytest.raises(CommandError) as caught:
        await awaitable
    assert caught.value.code is code, caught.value
    return caught.value


async def test_loser_of_two_racing_puts_learns_who_won(put, store):
    await put(BRANCH, 0)
    done, (loser_error,) = split_errors(
        await asyncio.gather(
            put(BRANCH + "# a\n", 1),
            put(BRANCH + "# b\n", 1, author="bilal"),
            return_exceptions=True,
        )
    )
    assert done[0].payload["version"] == 2
    assert loser_error.code is ExitCode.CONFLICT
    assert (loser_error.details["expected"], loser_error.details["version"]) == (1, 2)
    assert loser_error.details["author"] == done[0].payload["author"]
    assert (await read_branch(store, "lahore")).version == 2


async def test_put_on_an_old_version_names_both_versions_and_the_author(put):
    await put(BRANCH, 0, author="bilal")
    error = await expect_error(put(BRANCH, 7), ExitCode.CONFLICT)
    assert "version 1, written by bilal" in str(error)
    assert "expected version 7" in str(error)


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("[service:ledger]\npartitions = 3", "not a power of two"),
        ("[service:ledger]\npartitions = 1024", "can't change"),
        ("[service:valuation]", "team spain defines"),
    ],
)
async def test_refused_branch_is_not_written(put, standin, text, reason):
    await put(BRANCH, 0)
    await put("[service:valuation]", 0, team="spain")
    puts = standin.calls["put"]
    error = await expect_error(put(text, 1))
    assert reason in str(error.problems[0])
    assert standin.calls["put"] == puts


async def test_one_of_two_teams_that_add_the_same_service_at_once_is_refused(
    put, store
):
    # Guards against two branches that both define a service. Each daemon would
    # reject the one that it receives last.
    texts = {"lahore": "[service:shop]\n[service:a]\n", "spain": "[service:shop]\n"}
    done, (loser_error,) = split_errors(
        await asyncio.gather(
            *(put(text, 0, team, team) for team, text in texts.items()),
            return_exceptions=True,
        )
    )
    winner = done[0].payload["team"]
    (loser,) = texts.keys() - {winner}
    assert loser_error.code is ExitCode.REFUSED
    assert f"the service belongs to team {winner}" in str(loser_error.problems[0])
    assert (await read_branch(store, winner)).version == 1
    assert (await read_branch(store, loser)).version == 0


async def test_service_removed_from_a_branch_stays_claimed(put):
    # Guards against a second team taking over the partitions of a removed service.
    await put("[service:shop]\n[service:a]\n", 0)
    await put("[service:a]\n", 1)
    error = await expect_error(put("[service:shop]\n", 0, team="spain"))
    assert "the service belongs to team lahore" in str(error.problems[0])
    assert (await put("[service:shop]\n", 2)).payload["version"] == 3


async def test_malformed_claims_document_is_an_error(put, store):
    # Guards against a traceback and against overwriting the document.
    await write_document(store, CLAIMS_DOCUMENT, b"\x91\x01", "other program", 0)
    assert CLAIMS_DOCUMENT in str(await expect_error(put(BRANCH, 0), ExitCode.FAILED))
    assert (await read_branch(store, "lahore")).version == 0


async def test_another_teams_broken_branch_does_not_block_a_team(put, store):
    await write_document(store, "settings/spain", b"[service:", "old release", 0)
    assert (await put(BRANCH, 0)).payload["version"] == 1


async def test_lost_reply_to_a_put_is_not_a_conflict(put, standin):
    standin.set_faults(lose_write_replies=1)
    assert (await put(BRANCH, 0)).payload["version"] == 1


async def test_concurrent_drains_by_two_operators_are_both_kept(
    put, drain, daemon, store
):
    daemon.services["ledger"].append("vm-3")
    await put(BRANCH, 0)
    await asyncio.gather(drain("vm-1"), drain("vm-2", "maintenance"))
    version, vms = await stored_vms(store)
    assert vms == {
        "vm-1": VmState.DRAINED_FOR_DEPLOY,
        "vm-2": VmState.DRAINED_FOR_MAINTENANCE,
    }
    assert version == 3


async def test_two_operators_cannot_drain_the_last_two_endpoints(put, drain, store):
    await put(BRANCH, 0)
    _, (refused,) = split_errors(
        await asyncio.gather(drain("vm-1"), drain("vm-2"), return_exceptions=True)
    )
    assert refused.code is ExitCode.REFUSED
    assert "last endpoint in service of ledger" in str(refused)
    _, vms = await stored_vms(store)
    assert len(vms) == 1
    await expect_error(drain("vm-3"))


async def test_drain_and_undrain_are_idempotent_and_keep_comments(put, drain, store):
    await put(BRANCH, 0)
    assert (await drain("vm-1"))["changed"]
    assert not (await drain("vm-1"))["changed"]
    assert (await undrain(drain, "vm-1", "deploy"))["changed"]
    assert not (await undrain(drain, "vm-1", "deploy"))["changed"]
    stored = await read_branch(store, "lahore")
    assert stored.version == 3
    assert stored.text.startswith(BRANCH)


@pytest.mark.parametrize(
    ("first", "other"), [("deploy", "maintenance"), ("maintenance", "deploy")]
)
async def test_drains_for_different_reasons_do_not_interfere(put, drain, first, other):
    await put(BRANCH, 0)
    await drain("vm-1", first)
    await expect_error(undrain(drain, "vm-1", other))
    await expect_error(drain("vm-1", other))
    assert not (await drain("vm-1", first))["changed"]


async def test_removed_vm_is_neither_drained_nor_put_back(put, drain):
    await put(BRANCH + "[vm:vm-1]\nstate = removed\n", 0)
    await expect_error(drain("vm-1"))
    await expect_error(undrain(drain, "vm-1", "deploy"))


async def test_unknown_vm_and_team_without_branch_are_errors(put, drain):
    await expect_error(drain("vm-1"), ExitCode.FAILED)
    await put(BRANCH, 0)
    assert "vm-9 is not in the fleet" in str(await expect_error(drain("vm-9")))


async def test_lost_reply_to_a_drain_writes_one_version(put, drain, standin, store):
    await put(BRANCH, 0)
    standin.set_faults(lose_write_replies=1)
    drained = await drain("vm-1")
    assert drained["changed"], "the writer mistook its own change for another's"
    assert drained["version"] == 2
    assert (await stored_vms(store))[0] == 2


async def test_outage_of_the_store_is_reported_as_unavailable(
    put, drain, standin, monkeypatch
):
    monkeypatch.setattr(envelope_module, "RESOLVE_TIMEOUT_S", 0.2)
    await put(BRANCH, 0)
    puts = standin.calls["put"]
    standin.set_faults(outage=True)
    for failing in (put(BRANCH, 1), drain("vm-1")):
        with pytest.raises(StoreUnavailableError):
            await failing
    assert standin.calls["put"] == puts


async def test_drain_without_a_daemon_writes_nothing(put, drain, daemon, standin):
    await put(BRANCH, 0)
    daemon.failing_calls = 1
    puts = standin.calls["put"]
    await expect_error(drain("vm-1"), ExitCode.UNAVAILABLE)
    assert standin.calls["put"] == puts


async def test_wait_ends_when_the_last_node_reports(context, daemon):
    daemon.states["vm-4"] = "fenced"
    daemon.failing_calls = 1

    def report_later():
        if daemon.calls > 4:
            daemon.reports = {vm: {"settings/lahore": 3} for vm in daemon.states}

    daemon.on_call = report_later
    output = await commands.wait(context, "lahore", 2, timeout_s=5)
    assert output.payload == {"team": "lahore", "version": 2, "nodes": 3}
    assert daemon.calls > 4


async def test_wait_names_the_vms_that_are_behind(context, daemon):
    daemon.reports["vm-1"] = daemon.reports["vm-2"] = {"settings/lahore": 2}
    del daemon.reports["vm-3"]
    waiting = commands.wait(context, "lahore", 2, timeout_s=0.3)
    error = await expect_error(waiting, ExitCode.UNAVAILABLE)
    assert "1 of 3 nodes: vm-3" in str(error)
    assert error.details["behind"] == ["vm-3"]


async def test_wait_does_not_succeed_on_an_empty_fleet(context, daemon):
    daemon.states = {}
    waiting = commands.wait(context, "lahore", 1, timeout_s=0)
    await expect_error(waiting, ExitCode.UNAVAILABLE)


async def test_wait_stops_when_the_fleet_rejects_the_version(context, daemon):
    daemon.rejected = {
        "settings/lahore": {"version": 3, "reason": "service ledger is defined twice"}
    }
    for version in (2, 3):
        waiting = commands.wait(context, "lahore", version, timeout_s=30)
        error = await expect_error(waiting)
        assert "version 3: service ledger is defined twice" in str(error)
    # The last valid version is in force, and a later one may still arrive.
    output = await commands.wait(context, "lahore", 1, timeout_s=0)
    assert output.payload["nodes"] == 3
    later = commands.wait(context, "lahore", 4, timeout_s=0)
    await expect_error(later, ExitCode.UNAVAILABLE)


async def test_unreachable_daemon_is_unavailable(daemon, standin):
    await daemon.runner.cleanup()
    context = Context(standin.url, daemon.url, False)
    await expect_error(commands.members(context), ExitCode.UNAVAILABLE)
