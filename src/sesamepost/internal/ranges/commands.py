"""Commands that grant and release key ranges at the local endpoint."""

from collections.abc import Callable
from typing import Protocol


class EndpointUnresponsiveError(Exception):
    """The endpoint did not respond to a command, so it may execute it later."""


class EndpointGoneError(Exception):
    """Nothing listens at the endpoint's address, so its process has ended."""


class EndpointUnconfirmedError(Exception):
    """A grant was withheld because another incarnation could have accepted it."""


class GrantDelayedError(Exception):
    """A grant was not sent, because it had to wait too long for a connection."""


class EndpointCommands(Protocol):
    """Commands to the local endpoint.

    Both commands raise ``EndpointUnresponsiveError`` or ``EndpointGoneError``. A grant
    also raises ``EndpointUnconfirmedError`` if it would need a new connection and
    ``may_connect`` does not allow one, and ``GrantDelayedError``.
    """

    may_connect: Callable[[], bool]

    async def grant(
        self, first: int, last: int, fence: int, hold_s: float, handover: str
    ) -> bool:
        """Grant or renew a hold; return False if the endpoint saw a higher fence.

        The hold ends at most ``hold_s`` seconds after this call, although it counts
        from when the endpoint receives the grant.
        """

    async def release(self, first: int, last: int, fence: int) -> str:
        """End a hold once its requests have finished; return the handover token."""
