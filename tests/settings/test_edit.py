"""A drain must change one setting and keep the rest of the operators' text."""

import pytest

from sesamepost.internal.settings.branch import parse_branch
from sesamepost.internal.settings.edit import set_vm_state
from sesamepost.internal.settings.model import VmState

DRAINED = VmState.DRAINED_FOR_DEPLOY


@pytest.mark.parametrize(
    ("before", "after"),
    [
        ("", "\n[vm:a]\nstate = S\n"),
        ("[service:x]", "[service:x]\n\n[vm:a]\nstate = S\n"),
        ("[vm:a]", "[vm:a]\nstate = S\n"),
        ("[ vm:a ]\n", "[ vm:a ]\nstate = S\n"),
        ("\ufeff[vm:a]\r\n# x\r\n", "\ufeff[vm:a]\r\nstate = S\r\n# x\r\n"),
        (
            "[vm:b]\nstate=removed\n[vm:a]\n# why\nstate=in_service\n# end",
            "[vm:b]\nstate=removed\n[vm:a]\n# why\nstate = S\n# end",
        ),
        (
            "[vm:a]\n[vm:b]\nstate = removed\n",
            "[vm:a]\nstate = S\n[vm:b]\nstate = removed\n",
        ),
        (
            "# [vm:a]\n[vm:ab]\r\nstate = removed\r\n",
            "# [vm:a]\n[vm:ab]\r\nstate = removed\r\n\r\n[vm:a]\r\nstate = S\r\n",
        ),
    ],
)
def test_only_the_state_changes(before, after):
    edited = set_vm_state(before, "a", DRAINED)
    assert edited == after.replace("S", DRAINED)
    assert parse_branch("t", edited).ok.vms["a"] is DRAINED
