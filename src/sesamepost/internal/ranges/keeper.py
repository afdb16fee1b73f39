"""Brings the holds of the local endpoint in line with the range table, in steps."""

import asyncio
from collections import Counter
from collections.abc import Sequence
from contextlib import suppress

import structlog

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.nodes import EndpointInfo, NodeTable, Registration
from sesamepost.internal.ranges.balance import Move
from sesamepost.internal.ranges.commands import EndpointCommands
from sesamepost.internal.ranges.era_guard import EraGuard
from sesamepost.internal.ranges.fence_writes import FenceWriter
from sesamepost.internal.ranges.grant_right import GrantRight
from sesamepost.internal.ranges.granting import GrantSender
from sesamepost.internal.ranges.heartbeat_answers import HeartbeatAnswers
from sesamepost.internal.ranges.heartbeat_holds import (
    HeartbeatHolds,
    HoldOrder,
    HoldReport,
)
from sesamepost.internal.ranges.holds import HoldTracker
from sesamepost.internal.ranges.local_owner import LocalOwner
from sesamepost.internal.ranges.moving import RangeMover
from sesamepost.internal.ranges.placement import Placement, due_handovers
from sesamepost.internal.ranges.reclaiming import RangeReclaimer
from sesamepost.internal.ranges.releasing import CommandReleaser, HeartbeatReleaser
from sesamepost.internal.ranges.table import KeyRange, Owner, RangeTable
from sesamepost.internal.ranges.table_store import TableStore
from sesamepost.internal.tasks import TaskOwner

CHECK_INTERVAL_S = 0.25
# Time that a new process waits for the endpoint before it hands its ranges over.
FIRST_HEARTBEAT_TIMEOUT_S = 4.0

log = structlog.get_logger()


class RangeKeeper(TaskOwner):
    """Manages the holds of the local endpoint of a partitioned service.

    Each step looks at the table and at the endpoint and starts what is missing: grants
    (``granting``), higher fences and the adoption of ranges by a new incarnation
    (``fence_writes``), and handovers if the endpoint leaves or has ended (``moving``).
    With ``by_heartbeat``, the endpoint takes no commands, but holds what the answers to
    its heartbeats order (``heartbeat_answers``). What may end a hold stands in
    ``hold_ends``.
    """

    def __init__(
        self,
        vm: str,
        tables: TableStore,
        nodes: NodeTable,
        registration: Registration,
        commands: EndpointCommands,
        max_hold_s: float,
        by_heartbeat: bool = False,
        placement: Placement | None = None,
    ) -> None:
        self.vm = vm
        self.tables = tables
        self.nodes = nodes
        self.registration = registration
        self.commands = commands
        self.placement = placement or Placement()
        self.counters: Counter[str] = Counter()
        self.wake = asyncio.Event()
        self.granted = asyncio.Event()
        # Set and replaced after each step.
        self.stepped = asyncio.Event()
        self.local = LocalOwner(vm, max_hold_s)
        self.guard = EraGuard(tables.mirror, self.counters)
        self.local.review = self.guard.review
        self.right = GrantRight(tables, registration)
        self.grants = GrantSender(
            self.local,
            self.right,
            commands,
            self.wake,
            self._note_granted,
            self.counters,
        )
        self.writer = FenceWriter(self.local, tables, self.wake)
        commands_releaser = CommandReleaser(self.local, tables, commands, self.grants)
        self.reclaimer = RangeReclaimer(self.local, commands_releaser, self.counters)
        heartbeat_holds = HeartbeatHolds() if by_heartbeat else None
        releaser = commands_releaser
        if heartbeat_holds is not None:
            releaser = HeartbeatReleaser(self.local.ends, heartbeat_holds)
        self.mover = RangeMover(
            self.local,
            tables,
            nodes,
            releaser,
            self.wake,
            not by_heartbeat,
            self.placement,
        )
        self.answers: HeartbeatAnswers | None = None
        if heartbeat_holds is not None:
            self.answers = HeartbeatAnswers(
                self.local,
                self.right,
                heartbeat_holds,
                self.mover,
                self.writer,
                self.counters,
            )
            self.answers.step = self.step
            self.answers.wait_for_step = self._wait_for_step
            self.answers.on_ordered = self._note_granted
        tables.mirror.changes.subscribe(self._on_change)
        tables.on_range_update = self.wake.set
        registration.on_renewed = self.wake.set

    async def __aexit__(self, *error) -> None:
        await super().__aexit__(*error)
        for part in (
            self.mover,
            self.writer,
            self.grants,
            self.reclaimer,
            self.right,
        ):
            await part.close()

    @property
    def endpoint(self) -> EndpointInfo | None:
        """The local endpoint of the service."""
        return self.local.endpoint

    @property
    def owner(self) -> Owner | None:
        """The local endpoint as an owner in the table."""
        return self.local.owner

    @property
    def holds(self) -> HoldTracker:
        """The holds of the present incarnation of the endpoint."""
        return self.local.holds

    @property
    def is_leaving(self) -> bool:
        """Whether all ranges are being handed over."""
        return self.local.is_leaving

    @property
    def moves(self) -> dict[tuple[int, int], asyncio.Task]:
        """The moves under way, by first and last key."""
        return self.mover.moves

    def set_endpoint(
        self, endpoint: EndpointInfo | None, is_gone: bool, is_confirmed: bool = True
    ) -> None:
        """Update what is known of the local endpoint, see ``LocalOwner``."""
        self.local.set_endpoint(endpoint, is_gone, is_confirmed)
        self.wake.set()

    def may_run(self, key: int) -> bool:
        """Return whether requests for ``key`` may be sent to the endpoint now.

        An endpoint that is not confirmed is assumed to hold its ranges for a while or
        until it refuses a key.
        """
        if self.holds.may_run(key, boottime()):
            return True
        return self.local.may_hold_inherited and self.is_expected(key)

    def is_expected(self, key: int) -> bool:
        """Return whether the endpoint owns ``key`` and should hold it soon."""
        table = self.tables.table
        if table is None or self.endpoint is None:
            return False
        key_range = table.find(key)
        return key_range.owner == self.owner and not self.mover.is_moving(key)

    async def wait_until_granted(self, key: int, timeout_s: float) -> bool:
        """Wait until the endpoint holds ``key``; return False after the timeout."""
        end = boottime() + timeout_s
        while not self.may_run(key):
            remaining_s = end - boottime()
            if remaining_s <= 0:
                return False
            if self.mover.is_moving(key):
                # The calling node tries the next owner once the move has finished.
                await self.tables.mirror.wait_for_change(remaining_s)
                if self.mover.is_moving(key):
                    continue
            if not self.is_expected(key):
                return False
            event = self.granted
            with suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await event.wait()
        return True

    def note_key_refused(self, key: int) -> None:
        """Record that the endpoint reported no hold of ``key``, and grant it again."""
        if self.local.note_key_refused(key):
            self.wake.set()

    def move(self, moves: Sequence[Move], reason: str) -> None:
        """Hand adjacent key ranges over to the targets of ``moves`` in one step."""
        self.mover.move(moves, reason)

    def other_owners(self) -> list[Owner]:
        """Return the other endpoints that may own keys of the service."""
        return self.mover.other_owners()

    def receivers(self) -> list[Owner]:
        """Return the other owners that balance may give keys now."""
        return self.mover.receivers()

    def start_leaving(self) -> None:
        """Send no more grants, and hand all ranges over."""
        self.local.is_leaving = True
        self.wake.set()

    def note_end_reported(self) -> None:
        """Renew no hold from now on, since others may take the ranges at once."""
        self.start_leaving()
        self.local.is_end_reported = True

    async def hand_over_all(self) -> None:
        """Hand all ranges over and return once that is done."""
        self.start_leaving()
        while True:
            table = self.tables.table
            if table is None or not table.owned_by(self.vm):
                return
            if not self.other_owners():
                return
            await self.tables.mirror.wait_for_change(CHECK_INTERVAL_S)

    async def answer_heartbeat(self, report: HoldReport) -> HoldOrder | None:
        """Return what the endpoint is to hold, or None if the answer renews nothing.

        None is also the answer for an endpoint that is granted its holds by commands.
        """
        return None if self.answers is None else await self.answers.answer(report)

    async def run(self) -> None:
        """Bring the holds in line with the table and the endpoint until cancelled."""
        while True:
            self.wake.clear()
            try:
                self.step()
            except Exception:
                # A failed iteration must not end the renewal of the holds.
                log.exception("range_keeper_failed")
            stepped, self.stepped = self.stepped, asyncio.Event()
            stepped.set()
            with suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self.wake.wait()

    def step(self) -> None:
        """Start what the table and the endpoint require now.

        Nothing is done while the table is unconfirmed since the store came back.
        """
        if not self.guard.is_open:
            return
        table = self.tables.table
        if table is None:
            if self.tables.mirror.has_listed and not self.tables.exists:
                self.grants.note_missing_table()
            return
        if self._is_claiming(table):
            return
        owned = table.owned_by(self.vm)
        self.grants.note_fences([r.fence for r in owned])
        self._set_ranges(owned)
        if not self.local.is_serving:
            if self._is_handover_due():
                self.mover.hand_over(owned, "the endpoint leaves")
            return
        if not self.local.is_confirmed:
            return
        if self._is_displaced():
            is_closed = self.placement.is_closed(self.registration.entry)
            due = due_handovers(owned, self.moves, is_closed)
            self.mover.hand_over(due, "the endpoint may not own keys")
        else:
            self.writer.adopt([r for r in owned if r.owner != self.owner])
        self.writer.raise_refused()
        if self.answers is None:
            self.grants.send_due()

    def _is_claiming(self, table: RangeTable) -> bool:
        """Return whether ranges that the store has lost are being written again.

        Their holds would be given up according to the older table.
        """
        if self.writer.is_claiming:
            return True
        lost = []
        if self.local.is_serving and self.local.is_confirmed:
            now = boottime()
            lost = self.guard.lost(self.holds, table, self.owner, now)
            if lost:
                # The holds under the next fences are proved by the present ones.
                self.guard.review(self.holds, now)
        self.guard.note_claimed()
        self.counters["era_ranges_claimed"] += len(lost)
        self.writer.claim(lost, self.guard.eras.current)
        return bool(lost)

    def _set_ranges(self, owned: list[KeyRange]) -> None:
        lost = self.local.set_ranges(owned)
        if self.answers is not None:
            # The next order leaves them out.
            return
        for key_range in lost:
            self.reclaimer.reclaim(key_range)
        for first, last in self.moves:
            self.holds.start_release(first, last)

    def _is_displaced(self) -> bool:
        """Return whether other endpoints are to own the keys instead of this one."""
        entry = self.registration.entry
        if self.placement.is_eligible(self.tables.service, entry):
            return False
        return bool(self.other_owners())

    def _is_handover_due(self) -> bool:
        """Return whether no endpoint of this node is to hold ranges any more.

        A new process waits until a live endpoint would have sent a heartbeat.
        """
        age_s = boottime() - self.local.started_at
        is_overdue = age_s >= FIRST_HEARTBEAT_TIMEOUT_S
        return self.local.was_seen or self.is_leaving or is_overdue

    def _on_change(self, event) -> None:
        if self.tables.is_section_key(event.key):
            self.wake.set()

    def _note_granted(self) -> None:
        granted, self.granted = self.granted, asyncio.Event()
        granted.set()

    async def _wait_for_step(self, timeout_s: float) -> None:
        stepped = self.stepped
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await stepped.wait()
