"""The commands of ``sesamepostctl``; the docstrings are the text of ``--help``."""

import asyncio
import difflib
import math
from dataclasses import asdict
from pathlib import Path
from typing import Literal

from sesamepost.internal.cli import drains
from sesamepost.internal.cli.branches import (
    edit_branch,
    parse_or_raise,
    put_branch,
    read_branch,
    require_branch,
)
from sesamepost.internal.cli.context import Context, Output, check_author, check_team
from sesamepost.internal.cli.daemon import NodeReport, Status
from sesamepost.internal.cli.errors import CommandError, ExitCode
from sesamepost.internal.settings.branch import branch_key
from sesamepost.internal.settings.model import TeamBranch
from sesamepost.internal.settings.schema import is_name

POLL_INTERVAL_S = 0.25
MAX_SHOWN_VMS = 5

DrainReason = Literal["deploy", "maintenance"]


async def check(context: Context, file: Path, *, team: str) -> Output:
    """Check a branch without the store or a daemon.

    :param file: File with the branch.
    :param team: Team that the branch is for.
    """
    branch = parse_or_raise(check_team(team), _read_file(file), str(file))
    services = sorted(branch.services)
    return Output(
        {"team": team, "problems": [], "services": services},
        f"{file}: no problems, {len(services)} services",
    )


async def show(context: Context, team: str) -> Output:
    """Print a team's branch; its version and author go to standard error.

    :param team: Team whose branch is printed.
    """
    async with context.store() as store:
        stored = await require_branch(store, check_team(team))
    return Output(
        asdict(stored),
        stored.text,
        f"{branch_key(team)}: version {stored.version}, written by {stored.author}",
    )


async def diff(context: Context, team: str, file: Path) -> Output:
    """Print what putting a file would change in the team's branch.

    :param team: Team whose branch is compared.
    :param file: File with the new branch.
    """
    text = _read_file(file)
    async with context.store() as store:
        stored = await read_branch(store, check_team(team))
    writer = f" by {stored.author}" if stored.author else ""
    lines = difflib.unified_diff(
        stored.text.splitlines(),
        text.splitlines(),
        f"{branch_key(team)} version {stored.version}{writer}",
        str(file),
        lineterm="",
    )
    diff_text = "\n".join(lines)
    return Output(
        {
            "team": team,
            "version": stored.version,
            "author": stored.author,
            "changed": stored.text != text,
            "diff": diff_text,
        },
        diff_text,
        f"{branch_key(team)}: version {stored.version}{writer}",
    )


async def put(
    context: Context, team: str, file: Path, *, if_version: int, author: str = ""
) -> Output:
    """Replace a team's branch if its version is the given one.

    A branch with any problem is refused before anything is written.

    :param team: Team whose branch is replaced.
    :param file: File with the new branch.
    :param if_version: Version that the branch must have; 0 if the team has none yet.
    :param author: Who makes the change; default: $USER.
    """
    if if_version < 0:
        raise CommandError(ExitCode.USAGE, "--if-version must be 0 or more")
    chosen_author = check_author(author)
    text = _read_file(file)
    async with context.store() as store:
        version = await put_branch(
            store, check_team(team), text, str(file), chosen_author, if_version
        )
    return Output(
        {"team": team, "version": version, "author": chosen_author},
        f"{branch_key(team)}: version {version} written",
    )


async def wait(
    context: Context, team: str, version: int, *, timeout_s: float = 30.0
) -> Output:
    """Wait until every node reports that this version is in force, or a later one.

    :param team: Team whose branch was changed.
    :param version: Version that put or drain printed.
    :param timeout_s: How long to wait at most.
    """
    if not 0 <= timeout_s < math.inf:
        raise CommandError(ExitCode.USAGE, "--timeout-s must be 0 or more")
    name = branch_key(check_team(team))
    deadline = asyncio.get_running_loop().time() + timeout_s
    while True:
        error, node_count = await _check_in_force(context, name, version)
        if error is None:
            return Output(
                {"team": team, "version": version, "nodes": node_count},
                f"{name}: version {version} is in force on {node_count} nodes",
            )
        if asyncio.get_running_loop().time() + POLL_INTERVAL_S > deadline:
            raise error
        await asyncio.sleep(POLL_INTERVAL_S)


async def members(context: Context) -> Output:
    """List the nodes of the fleet as a daemon knows them."""
    async with context.daemon() as daemon:
        status = await daemon.status()
    fleet = sorted(status.fleet, key=lambda item: item.vm)
    rows = [["VM", "NODE", "FAILURE DOMAIN", "REGION", "STATE", "ADDRESS"]]
    rows += [list(asdict(item).values()) for item in fleet]
    controller = status.controller or "none known"
    return Output(
        {"controller": status.controller, "fleet": [asdict(item) for item in fleet]},
        f"{_format_table(rows)}\ncontroller: {controller}",
    )


async def versions(context: Context) -> Output:
    """List the versions of the documents, and the VMs that are behind."""
    async with context.daemon() as daemon:
        status = await daemon.status()
        nodes = await daemon.fleet()
    rows = [["DOCUMENT", "VERSION", "BEHIND", "REJECTED"]]
    for name, version in sorted(status.documents.items()):
        behind = _find_vms_behind(status, nodes, name, version)
        rejection = status.rejected.get(name)
        reason = "-" if rejection is None else " ".join(str(rejection).split())
        rows.append([name, str(version), _format_vms(behind) or "-", reason])
    return Output(
        {
            "node": status.node,
            "documents": status.documents,
            "rejected": {name: str(item) for name, item in status.rejected.items()},
            "nodes": {vm: asdict(report) for vm, report in nodes.items()},
        },
        _format_table(rows),
    )


async def owner(context: Context, service: str, key: str) -> Output:
    """Print which node owns a key.

    :param service: Service of the key.
    :param key: Key as callers send it.
    """
    if not is_name(service) or not key:
        raise CommandError(ExitCode.USAGE, "give the name of a service and a key")
    async with context.daemon() as daemon:
        ownership = await daemon.owner(service, key)
    location = f"partition {ownership.partition}, epoch {ownership.epoch}"
    return Output(
        asdict(ownership),
        f"{ownership.owner or 'no owner at this moment'} ({location})",
    )


async def drain(
    context: Context, vm: str, *, team: str, reason: DrainReason, author: str = ""
) -> Output:
    """Take a VM out of service; its partitions move to other VMs.

    Repeating the command is safe. The VM with the last endpoint in service of one of
    the team's services is refused.

    :param vm: Name of the VM.
    :param team: Team whose branch is changed.
    :param reason: Only undrain with the same reason ends this.
    :param author: Who makes the change; default: $USER.
    """
    async with context.daemon() as daemon:
        status = await daemon.status()

    def edit(branch: TeamBranch, text: str) -> str:
        return drains.drain_vm(branch, text, vm, reason, status)

    return await _edit_vm(context, vm, team, author, f"drained_for_{reason}", edit)


async def undrain(
    context: Context, vm: str, *, team: str, reason: DrainReason, author: str = ""
) -> Output:
    """Put a VM back in service that was drained for this reason.

    Repeating the command is safe. A drain for the other reason is not ended.

    :param vm: Name of the VM.
    :param team: Team whose branch is changed.
    :param reason: Reason that the VM was drained for.
    :param author: Who makes the change; default: $USER.
    """

    def edit(branch: TeamBranch, text: str) -> str:
        return drains.undrain_vm(branch, text, vm, reason)

    return await _edit_vm(context, vm, team, author, "in_service", edit)


async def _edit_vm(
    context: Context, vm: str, team: str, author: str, state: str, edit
) -> Output:
    if not is_name(vm):
        raise CommandError(ExitCode.USAGE, f"{vm!r} is not the name of a VM")
    chosen_author = check_author(author)
    async with context.store() as store:
        version, changed = await edit_branch(
            store, check_team(team), chosen_author, edit
        )
    already = "" if changed else " already"
    return Output(
        {
            "vm": vm,
            "team": team,
            "state": state,
            "version": version,
            "changed": changed,
        },
        f"{vm} is{already} {state} in version {version} of {branch_key(team)}",
    )


async def _check_in_force(
    context: Context, name: str, version: int
) -> tuple[CommandError | None, int]:
    """Return None and the number of nodes if the version is in force on all of them.

    Otherwise return the error that explains why not, and 0. Raises ``CommandError`` if
    waiting any longer is of no use.
    """
    try:
        async with context.daemon() as daemon:
            status = await daemon.status()
            nodes = await daemon.fleet()
    except CommandError as error:
        if error.code is not ExitCode.UNAVAILABLE:
            raise
        return error, 0
    rejection = status.rejected.get(name)
    # A rejected version never comes into force, so it is checked separately.
    if rejection is not None and (
        status.documents.get(name, 0) < version <= rejection.version
    ):
        raise CommandError(
            ExitCode.REFUSED,
            f"the fleet rejected {name}: {rejection}",
            reason=rejection.reason,
        )
    expected = _routing_vms(status)
    behind = _find_vms_behind(status, nodes, name, version)
    if expected and not behind:
        return None, len(expected)
    message = (
        f"version {version} of {name} is not in force on {len(behind)} of"
        f" {len(expected)} nodes: {_format_vms(behind)}"
        if behind
        else "the daemon knows no nodes of the fleet yet"
    )
    if name in status.waiting:
        message += f"; {status.waiting[name]}"
    return CommandError(ExitCode.UNAVAILABLE, message, behind=behind), 0


def _routing_vms(status: Status) -> list[str]:
    """Return the VMs whose nodes route requests; fenced nodes do not."""
    return sorted(item.vm for item in status.fleet if item.state != "fenced")


def _find_vms_behind(
    status: Status, nodes: dict[str, NodeReport], name: str, version: int
) -> list[str]:
    behind = []
    for vm in _routing_vms(status):
        report = nodes.get(vm)
        if report is None or report.documents.get(name, 0) < version:
            behind.append(vm)
    return behind


def _format_vms(vms: list[str]) -> str:
    more = f" and {len(vms) - MAX_SHOWN_VMS} more" if len(vms) > MAX_SHOWN_VMS else ""
    return ", ".join(vms[:MAX_SHOWN_VMS]) + more


def _read_file(path: Path) -> str:
    try:
        return path.read_bytes().decode()
    except OSError as error:
        reason = error.strerror or str(error)
        raise CommandError(ExitCode.FAILED, f"{path}: {reason}") from error
    except UnicodeDecodeError as error:
        raise CommandError(
            ExitCode.REFUSED, f"{path} is not UTF-8: {error.reason}"
        ) from error


def _format_table(rows: list[list[str]]) -> str:
    widths = [max(len(cell) for cell in column) for column in zip(*rows, strict=True)]
    lines = []
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)
