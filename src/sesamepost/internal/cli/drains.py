"""Drain a VM for one of two reasons, and put it back in service."""

from sesamepost.internal.cli.daemon import Status
from sesamepost.internal.cli.errors import CommandError, ExitCode
from sesamepost.internal.settings.edit import set_vm_state
from sesamepost.internal.settings.model import TeamBranch, VmState

DRAINED_STATES = {
    "deploy": VmState.DRAINED_FOR_DEPLOY,
    "maintenance": VmState.DRAINED_FOR_MAINTENANCE,
}


def drain_vm(
    branch: TeamBranch, text: str, vm: str, reason: str, status: Status
) -> str:
    """Return the branch's text with ``vm`` drained.

    A VM that is drained for the other reason is refused: the state holds only one
    reason, so the end of the first drain would also end the second.
    """
    target = DRAINED_STATES[reason]
    state = branch.vms.get(vm, VmState.IN_SERVICE)
    if state is target:
        return text
    if state is not VmState.IN_SERVICE:
        raise CommandError(
            ExitCode.REFUSED,
            f"{vm} is {state} already; wait until that has ended, then drain it for"
            f" {reason}",
            vm=vm,
            state=str(state),
        )
    _check_is_member(vm, status)
    _check_others_serve(branch, vm, status)
    return set_vm_state(text, vm, target)


def undrain_vm(branch: TeamBranch, text: str, vm: str, reason: str) -> str:
    """Return the branch's text with the drain of ``vm`` for ``reason`` ended."""
    state = branch.vms.get(vm, VmState.IN_SERVICE)
    if state is VmState.IN_SERVICE:
        return text
    if state is DRAINED_STATES[reason]:
        return set_vm_state(text, vm, VmState.IN_SERVICE)
    raise CommandError(
        ExitCode.REFUSED,
        f"{vm} is {state}, which undrain --reason {reason} does not end",
        vm=vm,
        state=str(state),
    )


def _check_is_member(vm: str, status: Status) -> None:
    members = sorted(item.vm for item in status.fleet)
    if vm in members:
        return
    raise CommandError(
        ExitCode.REFUSED,
        f"{vm} is not in the fleet, so nothing would be drained; see members",
        vm=vm,
    )


def _check_others_serve(branch: TeamBranch, vm: str, status: Status) -> None:
    """Refuse to drain the last endpoint in service of one of the team's services.

    The daemon's status can be older than the branch, so VMs that the branch takes out
    of service don't count. If two operators drain the last two VMs, the check for the
    second one therefore sees the first one's change.
    """
    for service in branch.services:
        serving = status.services.get(service, [])
        if vm not in serving:
            continue
        others = [
            item
            for item in serving
            if item != vm
            and branch.vms.get(item, VmState.IN_SERVICE) is VmState.IN_SERVICE
        ]
        if others:
            continue
        raise CommandError(
            ExitCode.REFUSED,
            f"{vm} has the last endpoint in service of {service}; put another VM in"
            " service first",
            vm=vm,
            service=service,
        )
