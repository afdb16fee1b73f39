"""Connection pool for the local endpoint."""

import asyncio
from collections import Counter
from enum import Enum

from sesamepost.errors import ErrorKind, RouterError
from sesamepost.internal.clock import boottime
from sesamepost.internal.forwarding.answer_budget import AnswerBudget
from sesamepost.internal.forwarding.endpoint_connection import (
    MAX_ANSWER_BYTES,
    EndpointConnection,
    EndpointResponse,
)
from sesamepost.internal.forwarding.parse_queue import ParseQueue
from sesamepost.internal.forwarding.protocol_names import HeaderNames
from sesamepost.internal.wire.pool import Address

CONNECT_TIMEOUT_S = 1.0
# Idle connections are not reused after this share of the endpoint's keep-alive time.
IDLE_LIMIT_SHARE = 0.5
DEFAULT_IDLE_LIMIT_S = 4.0
# Further idle connections are not worth their file descriptors.
MAX_IDLE = 16


class Listening(Enum):
    """Whether something listens at the endpoint's address.

    ``NO`` means that its port is closed. Its process has ended if no connection to it
    is open either.
    """

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


class EndpointPool:
    """Opens connections on demand and reuses the most recently used one.

    ``budget`` bounds the memory of all responses that are being received.
    """

    def __init__(
        self, address: Address, names: HeaderNames, budget: AnswerBudget | None = None
    ) -> None:
        self.address = address
        self.names = names
        self.budget = budget or AnswerBudget()
        self.parse_queue = ParseQueue()
        self.idle: list[EndpointConnection] = []
        self.in_use: set[EndpointConnection] = set()
        self.counters: Counter[str] = Counter()

    async def __aenter__(self) -> "EndpointPool":
        return self

    async def __aexit__(self, *error) -> None:
        self.close_idle()
        for connection in list(self.in_use):
            connection.close()

    def close_idle(self) -> None:
        """Close the idle connections after a change of the endpoint at the address."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()

    def count_open(self) -> int:
        """Return how many connections to the endpoint are open."""
        return sum(c.is_open for c in (*self.idle, *self.in_use))

    async def send(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        request_id: str,
    ) -> EndpointResponse:
        """Return the endpoint's response, or raise ``RouterError``.

        ``ENDPOINT_UNREACHABLE`` means that nothing was sent.
        """
        connection = self._pop_idle(request_id) or await self._connect()
        self.in_use.add(connection)
        try:
            return await connection.send(method, target, headers, body, request_id)
        finally:
            self.in_use.discard(connection)
            self._return_to_pool(connection)

    async def probe(self) -> Listening:
        """Return whether the endpoint's port accepts connections."""
        try:
            connection = await self._connect()
        except RouterError as error:
            is_closed = isinstance(error.__cause__, ConnectionRefusedError)
            self.counters["probes_refused" if is_closed else "probes_failed"] += 1
            return Listening.NO if is_closed else Listening.UNKNOWN
        self._return_to_pool(connection)
        return Listening.YES

    def _pop_idle(self, request_id: str) -> EndpointConnection | None:
        now = boottime()
        for connection in self.idle[::-1]:
            limit_s = connection.idle_limit_s
            if limit_s is None:
                limit_s = DEFAULT_IDLE_LIMIT_S
            is_fresh = now - connection.idle_since < limit_s * IDLE_LIMIT_SHARE
            if not connection.is_open or not is_fresh:
                self.idle.remove(connection)
                connection.close()
                continue
            if request_id in connection.failed_ids:
                continue
            self.idle.remove(connection)
            return connection
        return None

    async def _connect(self) -> EndpointConnection:
        loop = asyncio.get_running_loop()
        self.counters["connections_opened"] += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: EndpointConnection(
                        self.names, MAX_ANSWER_BYTES, self.budget, self.parse_queue
                    ),
                    *self.address,
                )
        except (OSError, TimeoutError) as error:
            self.counters["connection_failures"] += 1
            raise RouterError(
                ErrorKind.ENDPOINT_UNREACHABLE, f"{self.address}: {error!r}"
            ) from error
        return connection

    def _return_to_pool(self, connection: EndpointConnection) -> None:
        self.counters["skipped_answers"] += connection.skipped_answers
        connection.skipped_answers = 0
        if not connection.is_open:
            return
        connection.idle_since = boottime()
        self.idle.append(connection)
        while len(self.idle) > MAX_IDLE:
            self.idle.pop(0).close()
