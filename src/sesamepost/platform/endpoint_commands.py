"""Commands to the worker on the same machine: grants and releases of key ranges."""

import asyncio
import json
from collections.abc import Callable

from structlog.contextvars import bind_contextvars

from sesamepost.errors import RouterError
from sesamepost.internal.clock import boottime
from sesamepost.internal.forwarding.connection_groups import (
    CommandConnection,
    ConnectionGroups,
)
from sesamepost.internal.forwarding.endpoint_connection import (
    EndpointConnection,
    EndpointResponse,
)
from sesamepost.internal.ranges.commands import (
    EndpointGoneError,
    EndpointUnresponsiveError,
    FenceBoundError,
    GrantDelayedError,
)
from sesamepost.internal.ranges.hold_times import (
    CLOCK_DRIFT_FACTOR,
    MIN_HOLD_S,
    hold_end,
    hold_s_until,
)
from sesamepost.internal.wire.pool import Address
from sesamepost.platform.names import (
    GRANT_PATH,
    HANDOVER_HEADER,
    HEADERS,
    RELEASE_PATH,
)

GRANT_TIMEOUT_S = 1.0
# Time for which a grant waits until other grants are answered.
CONNECTION_WAIT_S = 1.5
RELEASE_TIMEOUT_S = 6.0
# Responses to commands have empty or short bodies.
MAX_BODY_BYTES = 64 << 10


class WorkerCommands:
    """Sends commands over separate connections, so that requests do not delay them.

    Responses to commands have no id. A second copy of one, sent late, would be taken
    for the proof of the next release, so each release has a connection of its own.
    Grants share connections, whose groups tell which of them reach the same process.

    ``grant`` binds the connection as context of the log, so that the lines that its
    task writes later name it too.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.may_begin: Callable[[float], bool] = lambda ended_at: True
        self.groups = ConnectionGroups(
            address,
            HEADERS,
            MAX_BODY_BYTES,
            lambda ended_at: self.may_begin(ended_at),
        )

    async def __aenter__(self) -> "WorkerCommands":
        await self.groups.__aenter__()
        return self

    async def __aexit__(self, *error) -> None:
        await self.groups.__aexit__(*error)

    def set_health_path(self, path: str) -> None:
        """Set the path at which the worker answers without a command."""
        self.groups.health_path = path

    def count_open(self) -> int:
        """Return how many connections for grants are open."""
        return self.groups.count_open()

    def end_group(self) -> None:
        """Close the connections for grants, which lead to an earlier incarnation."""
        self.groups.close_all()

    async def grant(
        self,
        first: int,
        last: int,
        fence: int,
        end: float,
        handover: str,
        may_send: Callable[[int], bool],
    ) -> bool:
        """Grant or renew a hold; return False if the worker knows a higher fence.

        The hold ends at ``end`` at the latest, so time that the grant waits for a
        connection is subtracted.
        """
        called_at = boottime()
        try:
            async with asyncio.timeout(CONNECTION_WAIT_S):
                connection = await self.groups.take()
        except TimeoutError:
            raise GrantDelayedError("other grants are not answered") from None
        try:
            _bind_to_log(connection, called_at)
            if not may_send(connection.group):
                raise FenceBoundError(connection.group)
            body = {"from": first, "target": last, "fence": fence}
            if handover:
                body["handover"] = handover
            return await self._send_grant(connection, body, end)
        finally:
            self.groups.give_back(connection)

    async def _send_grant(
        self, connection: CommandConnection, body: dict, end: float
    ) -> bool:
        """Send a grant whose hold has ended at ``end``; no task runs in between."""
        sent = self.groups.note_sent()
        hold_s = hold_s_until(end, boottime())
        if hold_s < MIN_HOLD_S:
            raise GrantDelayedError(f"{hold_s:.2f} s of the hold are left")
        body["holdS"] = round(hold_s, 3)
        try:
            async with asyncio.timeout(GRANT_TIMEOUT_S):
                response = await self._post(connection, GRANT_PATH, body)
        except (RouterError, TimeoutError) as error:
            raise _unanswered(repr(error), connection, hold_s) from None
        self.groups.note_answer(connection, sent)
        if response.status == 409:
            return False
        if response.status != 200:
            detail = f"the worker answered a grant with status {response.status}"
            raise _unanswered(detail, connection, hold_s)
        if connection.sent_at + hold_s * CLOCK_DRIFT_FACTOR > end:
            raise _unanswered("the grant was sent too late", connection, hold_s)
        return True

    async def release(self, first: int, last: int, fence: int) -> str:
        """End a hold once its requests have finished; return the handover token."""
        body = {"from": first, "target": last, "fence": fence}
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                response = await self._post_once(RELEASE_PATH, body)
        except ConnectionRefusedError as error:
            raise EndpointGoneError(str(error)) from None
        except (RouterError, TimeoutError, OSError) as error:
            raise EndpointUnresponsiveError(repr(error)) from None
        if response.status != 200:
            raise EndpointUnresponsiveError(
                f"the worker answered a release with status {response.status}"
            )
        return response.header(HANDOVER_HEADER)

    async def _post_once(self, path: str, body: dict) -> EndpointResponse:
        """Send a command on a new connection, which ends with the response."""
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: EndpointConnection(HEADERS, MAX_BODY_BYTES), *self.address
        )
        try:
            return await self._post(connection, path, body)
        finally:
            connection.close()

    async def _post(
        self, connection: EndpointConnection, path: str, body: dict
    ) -> EndpointResponse:
        data = json.dumps(body).encode()
        headers = [
            ("Host", f"{self.address.host}:{self.address.port}"),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
        ]
        return await connection.send("POST", path, headers, data, "")


def _unanswered(
    detail: str, connection: CommandConnection, hold_s: float
) -> EndpointUnresponsiveError:
    """Return the error of a grant that was sent and may be executed much later."""
    return EndpointUnresponsiveError(detail, hold_end(hold_s, connection.sent_at))


def _bind_to_log(connection: CommandConnection, called_at: float) -> None:
    now = boottime()
    bind_contextvars(
        group=connection.group,
        connection=connection.opened,
        connection_age_s=round(now - connection.opened_at, 3),
        sent_after_s=round(now - called_at, 3),
    )
