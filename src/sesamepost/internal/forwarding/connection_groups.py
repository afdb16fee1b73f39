"""Connections for commands, in groups that each lead to one process.

Another incarnation of the endpoint may listen at its address at any moment, and nothing
that the node hears tells which one a new connection has reached: a heartbeat may arrive
late, and a connection that looks open may have gone silent. Two facts are certain:

- A connection leads to the same process for as long as it lasts.
- If that process answers on it after another connection was opened, the later one leads
  to the same process, since the process that serves an address also listens there.

So answers join connections to a group. Commands may stay unanswered, so one connection
of the group, the anchor, carries none if others can be had. It is asked for the
endpoint's health while connections wait for an answer that joins them. A group ends
with its last connection. The next connection begins another group, which may or may not
lead to the same process.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from contextlib import suppress

import structlog

from sesamepost.errors import RouterError
from sesamepost.internal.clock import boottime
from sesamepost.internal.forwarding.endpoint_connection import EndpointConnection
from sesamepost.internal.forwarding.protocol_names import HeaderNames
from sesamepost.internal.ranges.commands import (
    EndpointGoneError,
    EndpointUnconfirmedError,
    GrantDelayedError,
)
from sesamepost.internal.wire.pool import Address

MAX_CONNECTIONS = 5
# One for commands and the anchor.
MIN_CONNECTIONS = 2
ANCHOR_TIMEOUT_S = 1.0
# Time for the first answer of a group, after which commands are sent without it.
FIRST_ANSWER_TIMEOUT_S = 0.3
# A hold counts from the arrival of its grant. This is less than the time for which a
# takeover waits beyond the longest hold.
CONNECT_TIMEOUT_S = 0.3
# Pause after a failed attempt to open a further connection.
REOPEN_PAUSE_S = 0.3
DEFAULT_HEALTH_PATH = "/health"
# Bounds of the pause after a group that never answered. Each group needs new fences,
# and so a write to the store.
MIN_BEGIN_PAUSE_S = 0.3
MAX_BEGIN_PAUSE_S = 1.2

log = structlog.get_logger()


class CommandConnection(EndpointConnection):
    """A connection of a group; ``group`` is 0 until it has been joined to one.

    ``opened`` is its place in the order of the events that ``ConnectionGroups`` counts,
    which also serves as its number in the log.
    """

    reuses_without_id = True

    def __init__(
        self,
        names: HeaderNames,
        max_body_bytes: int,
        on_lost: Callable[["CommandConnection"], None],
    ) -> None:
        super().__init__(names, max_body_bytes)
        self.on_lost = on_lost
        self.group = 0
        self.opened = 0
        self.opened_at = boottime()
        self.is_ended_by_peer = False

    def eof_received(self) -> bool:
        """Note that the endpoint has closed the connection."""
        self.is_ended_by_peer |= self.is_open
        return super().eof_received()

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the command in flight and report the loss."""
        self.is_ended_by_peer |= self.is_open
        super().connection_lost(error)
        self.on_lost(self)


class ConnectionGroups:
    """Opens connections to the endpoint on demand and assigns them to groups.

    ``may_begin(ended_at)`` returns whether a group may begin although the endpoint
    closed the last connection of the one before at ``ended_at``, as it does when its
    process ends.
    """

    def __init__(
        self,
        address: Address,
        names: HeaderNames,
        max_body_bytes: int,
        may_begin: Callable[[float], bool],
    ) -> None:
        self.address = address
        self.names = names
        self.max_body_bytes = max_body_bytes
        self.may_begin = may_begin
        self.health_path = DEFAULT_HEALTH_PATH
        self.group = 0
        # The place in the order of events at which the group's first one was opened.
        self.begun = 0
        self.members: set[CommandConnection] = set()
        self.anchor: CommandConnection | None = None
        # Members for commands that are not in use, the least recently used one first.
        self.idle: list[CommandConnection] = []
        # Open connections that no answer has joined to the group yet.
        self.newcomers: list[CommandConnection] = []
        self.waiting = 0
        self.opening: asyncio.Task | None = None
        self.asking: asyncio.Task | None = None
        self.reopen_at = 0.0
        self.begin_lock = asyncio.Lock()
        self.begin_at = 0.0
        self.begin_pause_s = MIN_BEGIN_PAUSE_S
        self.ended_at = float("-inf")
        # Counts openings and sent commands, in their order.
        self.events = 0
        self.changed = asyncio.Event()
        self.counters: Counter[str] = Counter()

    async def __aenter__(self) -> "ConnectionGroups":
        return self

    async def __aexit__(self, *error) -> None:
        for task in (self.opening, self.asking):
            if task is not None:
                task.cancel()
        self.close_all()

    def close_all(self) -> None:
        """End the group, because the endpoint is known to be another incarnation."""
        self._drop([*self.members, *self.newcomers])
        self.ended_at = float("-inf")
        self.begin_at = 0.0

    def count_open(self) -> int:
        """Return how many connections to the endpoint are open."""
        return sum(c.is_open for c in (*self.members, *self.newcomers))

    async def take(self) -> CommandConnection:
        """Return an idle connection of the group; begin a group if there is none.

        Raise ``EndpointGoneError`` if nothing listens at the address,
        ``EndpointUnconfirmedError`` if no group may begin yet and ``GrantDelayedError``
        if no connection could be opened.
        """
        self.waiting += 1
        try:
            while not self.idle:
                if not self.members:
                    await self._begin_group()
                    continue
                self._open_further(min(MAX_CONNECTIONS, self.waiting + 1))
                self._ask_anchor()
                self._use_lone_anchor()
                if not self.idle:
                    await self._wait_for_change()
            return self.idle.pop(0)
        finally:
            self.waiting -= 1

    async def _wait_for_change(self) -> None:
        changed = self.changed
        with suppress(TimeoutError):
            async with asyncio.timeout(REOPEN_PAUSE_S):
                await changed.wait()

    def note_sent(self) -> int:
        """Record that a command is being sent; return its place in the order."""
        self.events += 1
        return self.events

    def note_answer(self, connection: CommandConnection, sent: int) -> None:
        """Record that a command was answered; ``sent`` is its place in the order."""
        if connection.group != self.group:
            return
        self.begin_at = 0.0
        self.begin_pause_s = MIN_BEGIN_PAUSE_S
        # Those that were opened before the group may lead to another process.
        self._drop([n for n in self.newcomers if n.opened < self.begun])
        for newcomer in [n for n in self.newcomers if n.opened < sent]:
            self.newcomers.remove(newcomer)
            self._join(newcomer)
            log.info(
                "command_connection_joined",
                group=newcomer.group,
                connection=newcomer.opened,
                answered_on=connection.opened,
            )

    def give_back(self, connection: CommandConnection) -> None:
        """Return a connection after a command, whatever its outcome."""
        if connection not in self.members:
            connection.close()
            return
        if connection.is_open:
            self.idle.append(connection)
            self._open_further(MIN_CONNECTIONS)
        else:
            self._remove(connection)
            # Further commands may stay unanswered as well.
            self._open_further(MAX_CONNECTIONS)
        self._note_change()

    def _ask_anchor(self) -> None:
        """Ask the anchor for an answer if connections wait for one to join them."""
        is_asking = self.asking is not None and not self.asking.done()
        if self.anchor is not None and self.newcomers and not is_asking:
            self.asking = asyncio.ensure_future(
                self._ask(self.anchor, ANCHOR_TIMEOUT_S)
            )

    def _use_lone_anchor(self) -> None:
        """Use the anchor for commands if the endpoint accepts no other connection."""
        is_opening = self.opening is not None and not self.opening.done()
        is_asking = self.asking is not None and not self.asking.done()
        if self.anchor is None or self.newcomers or is_opening or is_asking:
            return
        if self.members == {self.anchor} and boottime() < self.reopen_at:
            self.idle.append(self.anchor)
            self.anchor = None

    async def _ask(self, anchor: CommandConnection, timeout_s: float) -> None:
        """Join all open connections to the group if the anchor is answered."""
        self.counters["anchor_calls"] += 1
        sent = self.note_sent()
        headers = [("Host", f"{self.address.host}:{self.address.port}")]
        try:
            async with asyncio.timeout(timeout_s):
                await anchor.send("GET", self.health_path, headers, b"", "")
        except (RouterError, TimeoutError) as error:
            log.info("command_anchor_unanswered", group=self.group, error=repr(error))
            self._drop([anchor])
            return
        self.note_answer(anchor, sent)
        if not anchor.is_open:
            self._remove(anchor)

    async def _begin_group(self) -> None:
        async with self.begin_lock:
            if self.members:
                return
            if not self.may_begin(self.ended_at):
                raise EndpointUnconfirmedError(
                    "no heartbeat since the endpoint closed its connections"
                )
            if boottime() < self.begin_at:
                raise GrantDelayedError("the last connections were not answered")
            # They may have gone silent with the others.
            self._drop(list(self.newcomers))
            anchor = await self._open()
            try:
                await self._add_newcomers(min(MAX_CONNECTIONS, self.waiting + 1) - 1)
            except asyncio.CancelledError:
                anchor.close()
                raise
            self.begin_at = boottime() + self.begin_pause_s
            self.begin_pause_s = min(MAX_BEGIN_PAUSE_S, self.begin_pause_s * 2)
            self.group += 1
            self.begun = anchor.opened
            self.counters["groups"] += 1
            log.info(
                "command_group_begun",
                group=self.group,
                connection=anchor.opened,
                ended_ago_s=self._ended_ago_s(),
            )
            self.anchor = anchor
            self._join(anchor)
            self.asking = asyncio.ensure_future(
                self._ask(anchor, FIRST_ANSWER_TIMEOUT_S)
            )
            await asyncio.wait({self.asking})
            if not self.members:
                # Nothing was sent over the group yet, so it may lead anywhere.
                self._drop(list(self.newcomers))
                first = await self._open()
                self.begun = first.opened
                self._join(first)

    def _ended_ago_s(self) -> float | None:
        """Return the time since the endpoint closed the last group, if it did."""
        ago_s = boottime() - self.ended_at
        return None if ago_s == float("inf") else round(ago_s, 3)

    async def _open(self) -> CommandConnection:
        loop = asyncio.get_running_loop()
        self.counters["opened"] += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: CommandConnection(
                        self.names, self.max_body_bytes, self._on_lost
                    ),
                    *self.address,
                )
        except ConnectionRefusedError as error:
            raise EndpointGoneError(str(error)) from None
        except (OSError, TimeoutError) as error:
            raise GrantDelayedError(f"not connected: {error!r}") from None
        self.events += 1
        connection.opened = self.events
        return connection

    def _open_further(self, wanted: int) -> None:
        """Open further connections, which join the group with the next answer.

        ``wanted`` is the number of connections that should be open.
        """
        is_opening = self.opening is not None and not self.opening.done()
        if not self.members or is_opening or boottime() < self.reopen_at:
            return
        missing = wanted - len(self.members) - len(self.newcomers)
        if missing > 0:
            self.opening = asyncio.ensure_future(self._add_newcomers(missing))

    async def _add_newcomers(self, count: int) -> None:
        await asyncio.gather(*(self._add_newcomer() for _ in range(count)))

    async def _add_newcomer(self) -> None:
        try:
            connection = await self._open()
        except (EndpointGoneError, GrantDelayedError):
            self.reopen_at = boottime() + REOPEN_PAUSE_S
            return
        if connection.is_open:
            self.newcomers.append(connection)
            self._note_change()

    def _join(self, connection: CommandConnection) -> None:
        connection.group = self.group
        self.members.add(connection)
        if self.anchor is None and len(self.members) > 1:
            self.anchor = connection
        if connection is not self.anchor:
            self.idle.append(connection)
        self._note_change()

    def _drop(self, connections: list[CommandConnection]) -> None:
        for connection in connections:
            self._remove(connection)
            connection.close()

    def _remove(self, connection: CommandConnection) -> None:
        self.members.discard(connection)
        if connection is self.anchor:
            self.anchor = None
        for held in (self.idle, self.newcomers):
            if connection in held:
                held.remove(connection)
        self._note_change()

    def _on_lost(self, connection: CommandConnection) -> None:
        is_member = connection in self.members
        if not is_member and connection.is_ended_by_peer:
            # The endpoint accepts no further connections, or is about to end.
            self.reopen_at = boottime() + REOPEN_PAUSE_S
        self._remove(connection)
        if is_member and not self.members and connection.is_ended_by_peer:
            self.ended_at = boottime()

    def _note_change(self) -> None:
        """Wake all tasks that wait for a connection."""
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
