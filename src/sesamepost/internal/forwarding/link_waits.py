"""Remembers which endpoints have no room on their links, as their refusals said."""

from collections.abc import Iterable

# Bounds the memory, and how long a wrong statement of a peer can do harm.
MAX_WAITS = 1000
MAX_WAIT_S = 2.0


class LinkWaits:
    """The times until which the links of VMs are full for answers of a route.

    ``now`` is passed in, in seconds on one clock.
    """

    def __init__(self) -> None:
        self.full_until: dict[tuple[str, str], float] = {}

    def note(self, vm: str, route: str, wait_s: float, now: float) -> None:
        """Record that the link of ``vm`` has no room for ``wait_s`` seconds."""
        if len(self.full_until) >= MAX_WAITS:
            self.full_until = {k: t for k, t in self.full_until.items() if t > now}
        if len(self.full_until) < MAX_WAITS:
            wait_s = min(MAX_WAIT_S, max(0.0, wait_s))
            self.full_until[vm, route] = now + wait_s

    def wait_s(self, vm: str, route: str, now: float) -> float:
        """Return the time until the link of ``vm`` has room, 0 if it has."""
        return max(0.0, self.full_until.get((vm, route), 0.0) - now)

    def shortest_s(self, vms: Iterable[str], route: str, now: float) -> float:
        """Return the time until one of the links has room, 0 if one has."""
        return min((self.wait_s(vm, route, now) for vm in vms), default=0.0)
