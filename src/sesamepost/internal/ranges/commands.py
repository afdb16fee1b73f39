"""Commands that grant and release key ranges at the local endpoint."""

from collections.abc import Callable
from typing import Protocol


class EndpointUnresponsiveError(Exception):
    """The endpoint did not respond to a command, so it may execute it later.

    ``hold_end`` is the latest end of the hold of a grant, 0 for other commands.
    """

    def __init__(self, detail: str, hold_end: float = 0.0) -> None:
        super().__init__(detail)
        self.hold_end = hold_end


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
        end: float,
        handover: str,
        may_send: Callable[[int], bool],
    ) -> bool:
        """Grant or renew a hold; return False if the endpoint saw a higher fence.

        The hold counts from when the endpoint receives the grant. It ends at ``end`` on
        the clock of ``internal/clock`` at the latest, so its length is computed last. A
        grant that was sent too late for that is reported as unanswered. ``may_send`` is
        called with the group right before the grant is sent, and prevents that by
        returning False.
        """

    async def release(self, first: int, last: int, fence: int) -> str:
        """End a hold once its requests have finished; return the handover token."""
