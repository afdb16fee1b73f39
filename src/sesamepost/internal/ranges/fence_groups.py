"""Binds each fence to the group of connections over which it was sent first."""

from collections.abc import Iterable

# The group of fences that a previous process of this node may have sent.
PREVIOUS_PROCESS_GROUP = 0


class FenceGroups:
    """Ensures that no fence is sent to two incarnations of the endpoint.

    All connections of a group lead to one process. Another group may lead to another
    incarnation, so a fence that was sent over one group is not sent over another.

    >>> fences = FenceGroups()
    >>> fences.claim(7, group=1), fences.claim(7, group=1), fences.claim(7, group=2)
    (True, True, False)
    """

    def __init__(self) -> None:
        self.groups: dict[int, int] = {}

    def claim(self, fence: int, group: int) -> bool:
        """Return whether ``fence`` may be sent over ``group``, and bind it if new."""
        return self.groups.setdefault(fence, group) == group

    def is_claimable(self, fence: int, group: int) -> bool:
        """Return whether ``fence`` may be sent over ``group``."""
        return self.groups.get(fence, group) == group

    def note_inherited(self, fences: Iterable[int]) -> None:
        """Record fences that a previous process of this node may have sent."""
        for fence in fences:
            self.groups.setdefault(fence, PREVIOUS_PROCESS_GROUP)

    def keep_only(self, fences: Iterable[int]) -> None:
        """Forget all other fences, since no grant uses them any more."""
        kept = set(fences)
        if len(self.groups) > len(kept):
            self.groups = {f: g for f, g in self.groups.items() if f in kept}
