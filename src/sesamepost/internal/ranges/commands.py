"""Commands that grant and release key ranges at the local endpoint."""

from collections.abc import Callable
from typing import Protocol


class EndpointUnresponsiveError(Exception):
    """The endpoint did not respond to a command, so it may execute it later."""


class EndpointGoneError(Exception):
    """Nothing listens at the endpoint's address, so its process has ended."""


class EndpointUnconfirmedError(Exception):
    """A grant was withheld, as the endpoint's process has probably ended."""


class GrantDelayedError(Exception):
    """A grant was not sent, because it had to wait too long for a connection."""


class FenceBoundError(Exception):
    """A grant was withheld, as another incarnation may have got its fence already.

    ``group`` is the group of connections over which the grant would have been sent.
    """

    def __init__(self, group: int) -> None:
        super().__init__(f"the fence is not bound to group {group}")
        self.group = group


class EndpointCommands(Protocol):
    """Commands to the local endpoint.

    Both commands raise ``EndpointUnresponsiveError`` or ``EndpointGoneError``. A grant
    that is not sent raises ``EndpointUnconfirmedError``, ``GrantDelayedError`` or
    ``FenceBoundError``.

    Grants are sent over groups of connections that each lead to one process. After the
    endpoint has closed the last connection of a group at ``ended_at``, another group
    begins only if ``may_begin(ended_at)``.
    """

    may_begin: Callable[[float], bool]

    def set_health_path(self, path: str) -> None:
        """Set the path at which the endpoint answers without a command."""

    def count_open(self) -> int:
        """Return how many connections to the endpoint are open."""

    def end_group(self) -> None:
        """End the present group, since another incarnation is known to have started."""

    async def grant(
        self,
        first: int,
        last: int,
        fence: int,
        hold_s: float,
        handover: str,
        may_send: Callable[[int], bool],
    ) -> bool:
        """Grant or renew a hold; return False if the endpoint saw a higher fence.

        The hold ends at most ``hold_s`` seconds after this call, although it counts
        from when the endpoint receives the grant. ``may_send`` is called with the group
        right before the grant is sent, and prevents that by returning False.
        """

    async def release(self, first: int, last: int, fence: int) -> str:
        """End a hold once its requests have finished; return the handover token."""
