"""Maintains the holds of the local endpoint and hands its ranges over."""

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence
from contextlib import suppress
from functools import partial

import structlog
from structlog.contextvars import bind_contextvars

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.nodes import EndpointInfo, NodeTable, Registration
from sesamepost.internal.ranges.balance import Move
from sesamepost.internal.ranges.commands import (
    EndpointCommands,
    EndpointGoneError,
    EndpointUnconfirmedError,
    EndpointUnresponsiveError,
    FenceBoundError,
    GrantDelayedError,
)
from sesamepost.internal.ranges.fence_groups import FenceGroups
from sesamepost.internal.ranges.grant_right import GrantRight
from sesamepost.internal.ranges.heartbeat_holds import (
    ANSWER_DELAY_S,
    HeartbeatHolds,
    HoldOrder,
    HoldReport,
)
from sesamepost.internal.ranges.hold_log import log_end, log_release, release_proof
from sesamepost.internal.ranges.holds import (
    HOLD_S,
    LONGEST_HOLD_S,
    GrantCommand,
    HoldTracker,
)
from sesamepost.internal.ranges.releasing import EndpointReleaser
from sesamepost.internal.ranges.table import (
    LAST_KEY,
    KeyRange,
    Owner,
    RangeTable,
    distribute,
    reassign,
)
from sesamepost.internal.ranges.table_store import TableStore
from sesamepost.internal.tasks import TaskOwner

CHECK_INTERVAL_S = 0.25
# Time that a new process waits for the endpoint before it hands its ranges over.
FIRST_HEARTBEAT_TIMEOUT_S = 4.0
# An answer that orders nothing new waits this long for a change, so that a range which
# moves here need not wait for the next heartbeat. It must arrive within a second, and
# its holds run from when the heartbeat was sent.
ANSWER_WAIT_S = 0.5
MAX_LOGGED_RANGES = 8

log = structlog.get_logger()


class RangeKeeper(TaskOwner):
    """Manages the holds of the local endpoint of a partitioned service.

    It sends grants, reassigns the ranges to a new incarnation of the endpoint with a
    higher fence, and hands them over when the endpoint leaves or has ended. With
    ``by_heartbeat``, the endpoint takes no commands, but holds what the answers to its
    heartbeats order.
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
    ) -> None:
        self.vm = vm
        self.tables = tables
        self.nodes = nodes
        self.registration = registration
        self.right = GrantRight(tables, registration)
        self.commands = commands
        self.fences = FenceGroups()
        self.knows_inherited_fences = False
        self.releaser = EndpointReleaser(commands)
        self.heartbeat_holds = HeartbeatHolds() if by_heartbeat else None
        # First key, last key and fence of each range of the last order, None if the
        # last answer renewed nothing.
        self.ordered_ranges: tuple[tuple[int, int, int], ...] | None = None
        self.started_at = boottime()
        self.holds = HoldTracker(max_hold_s, self.started_at + LONGEST_HOLD_S)
        self.endpoint: EndpointInfo | None = None
        self.incarnation: tuple[str, int] | None = None
        self.was_endpoint_seen = False
        self.is_confirmed = False
        self.inherited_until = self.started_at + HOLD_S
        self.is_leaving = False
        self.wake = asyncio.Event()
        self.granted = asyncio.Event()
        # Set and replaced after each step.
        self.stepped = asyncio.Event()
        self.moves: dict[tuple[int, int], asyncio.Task] = {}
        # Earliest time of the next handover of ranges whose move failed.
        self.retry_move_at: dict[tuple[int, int], float] = {}
        self.writes: dict[str, asyncio.Task] = {}
        self.grants: dict[tuple[int, int, int], asyncio.Task] = {}
        self.reclaims: set[asyncio.Task] = set()
        self.counters: Counter[str] = Counter()
        self.on_moved: Callable[[int, int], None] = lambda first, last: None
        tables.mirror.changes.subscribe(self._on_change)
        tables.on_range_update = self.wake.set
        registration.on_renewed = self.wake.set

    async def __aexit__(self, *error) -> None:
        await super().__aexit__(*error)
        tasks = [*self.moves.values(), *self.writes.values(), *self.grants.values()]
        for task in [*tasks, *self.reclaims]:
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task
        await self.right.close()

    @property
    def owner(self) -> Owner | None:
        """The local endpoint as an owner in the table."""
        if self.endpoint is None:
            return None
        return Owner(self.vm, self.endpoint.id, self.endpoint.born)

    def set_endpoint(
        self, endpoint: EndpointInfo | None, is_gone: bool, is_confirmed: bool = True
    ) -> None:
        """Update what is known of the local endpoint.

        ``is_gone`` says that its process has ended, so that its holds are void. An
        endpoint that is not confirmed is known only from the previous process of this
        node. It may be another incarnation under the same id, so it gets no grants yet.
        It may still hold what it was granted, and refuses requests itself if not.

        A heartbeat of another endpoint does not prove that the earlier one has ended,
        since it may come from another writer. So the holds run on until they are
        released or end, or until ``is_gone``.
        """
        self.is_confirmed = is_confirmed
        incarnation = endpoint.incarnation if endpoint else None
        if is_gone and not self.releaser.is_gone:
            log_end(self.holds, self.incarnation, "holds_void", "endpoint_gone")
        if endpoint is None:
            is_gone |= self.releaser.is_gone
        elif incarnation != self.incarnation and self.incarnation is not None:
            proof = "endpoint_gone" if self.releaser.is_gone else None
            log_end(
                self.holds, self.incarnation, "incarnation_replaced", proof, endpoint
            )
            self.holds = HoldTracker(self.holds.max_hold_s, self._held_until())
        self.incarnation = incarnation or self.incarnation
        self.endpoint = endpoint
        self.was_endpoint_seen |= endpoint is not None or is_gone
        self.releaser.is_gone = is_gone
        self.wake.set()

    def _held_until(self) -> float:
        """Return the time until which the known incarnation may hold any key."""
        if self.releaser.is_gone:
            return 0.0
        return self.holds.possible_until(0, LAST_KEY)

    def may_run(self, key: int) -> bool:
        """Return whether requests for ``key`` may be sent to the endpoint now.

        An endpoint that is not confirmed is assumed to hold its ranges until
        ``inherited_until`` or until it refuses a key.
        """
        now = boottime()
        if self.holds.may_run(key, now):
            return True
        return (
            not self.is_confirmed
            and now < self.inherited_until
            and self.is_expected(key)
        )

    def is_expected(self, key: int) -> bool:
        """Return whether the endpoint owns ``key`` and should hold it soon."""
        table = self.tables.table
        if table is None or self.endpoint is None:
            return False
        key_range = table.find(key)
        return key_range.owner == self.owner and not self._is_moving(key)

    def _is_moving(self, key: int) -> bool:
        return any(first <= key <= last for first, last in self.moves)

    async def wait_until_granted(self, key: int, timeout_s: float) -> bool:
        """Wait until the endpoint holds ``key``; return False after the timeout."""
        end = boottime() + timeout_s
        while not self.may_run(key):
            remaining_s = end - boottime()
            if remaining_s <= 0:
                return False
            if self._is_moving(key):
                # The calling node tries the next owner once the move has finished.
                await self.tables.mirror.wait_for_change(remaining_s)
                if self._is_moving(key):
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
        self.inherited_until = 0.0
        if self.holds.is_released(key):
            # The request crossed the release of its key.
            return
        hold = self.holds.find(key)
        if hold is not None:
            hold.certain_until = 0.0
            hold.retry_at = 0.0
            self.wake.set()

    def move(self, moves: Sequence[Move], reason: str) -> None:
        """Hand adjacent key ranges over to the targets of ``moves`` in one step."""
        owner = self.owner
        first = min(move.first for move in moves)
        last = max(move.last for move in moves)

        def transform(table: RangeTable, token: str) -> RangeTable | None:
            overlapping = [
                r for r in table.ranges if r.first <= last and first <= r.last
            ]
            if any(r.owner != owner for r in overlapping):
                return None
            for move in moves:
                table = reassign(table, move.first, move.last, move.target, token)
            return table

        self._start_move(first, last, reason, transform)

    def start_leaving(self) -> None:
        """Send no more grants, and hand all ranges over."""
        self.is_leaving = True
        self.wake.set()

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

    def _on_change(self, event) -> None:
        if self.tables.is_section_key(event.key):
            self.wake.set()

    async def run(self) -> None:
        """Bring the holds in line with the table and the endpoint until cancelled."""
        while True:
            self.wake.clear()
            try:
                self._step()
            except Exception:
                # A failed iteration must not end the renewal of the holds.
                log.exception("range_keeper_failed")
            stepped, self.stepped = self.stepped, asyncio.Event()
            stepped.set()
            with suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self.wake.wait()

    def _step(self) -> None:
        table = self.tables.table
        if table is None:
            # No previous process has sent a fence of a table that does not exist.
            self.knows_inherited_fences |= not self.tables.exists
            return
        owned = table.owned_by(self.vm)
        self._note_fences([r.fence for r in owned])
        self._set_ranges(owned)
        is_serving = (
            self.endpoint is not None and self.endpoint.is_ready and not self.is_leaving
        )
        if not is_serving:
            if (
                self.was_endpoint_seen
                or self.is_leaving
                or self._is_heartbeat_overdue()
            ):
                self._hand_over(owned, "the endpoint leaves")
            return
        if not self.is_confirmed:
            return
        self._adopt([r for r in owned if r.owner != self.owner])
        self._raise_fences()
        if self.heartbeat_holds is None:
            self._send_grants()

    def _note_fences(self, fences: list[int]) -> None:
        """Record the fences in use; a previous process may have sent the first ones."""
        if not self.knows_inherited_fences:
            self.knows_inherited_fences = True
            self.fences.note_inherited(fences)
        self.fences.keep_only(fences)

    def _set_ranges(self, owned: list[KeyRange]) -> None:
        current = [r for r in owned if r.owner == self.owner]
        self.holds.set_ranges(current, boottime())
        lost = self.holds.take_lost()
        if self.heartbeat_holds is not None:
            # The next order leaves them out.
            return
        for key_range in lost:
            self._reclaim(key_range)
        for first, last in self.moves:
            self.holds.start_release(first, last)

    async def answer_heartbeat(self, report: HoldReport) -> HoldOrder | None:
        """Return what the endpoint is to hold, or None if the answer renews nothing."""
        holds = self.holds
        self.heartbeat_holds.note_report(holds, report, boottime())
        self._step()
        await self._wait_for_new_order()
        table = self.tables.table
        if table is None or not self.is_confirmed or self.holds is not holds:
            return None
        owned = table.owned_by(self.vm)
        if not self.right.covers_all(owned):
            return None
        self._set_ranges(owned)
        order = self.heartbeat_holds.order(
            holds, list(self.moves), self.right.until, boottime()
        )
        self._note_order(order)
        self._hand_over(self.heartbeat_holds.left_out, "the answer is full")
        asyncio.get_running_loop().call_later(ANSWER_DELAY_S, self._note_granted)
        return order

    async def _wait_for_new_order(self) -> None:
        """Wait while the endpoint is to hold the same as by the last order.

        An endpoint that leaves or still has to release keys is answered immediately.
        """
        end = boottime() + ANSWER_WAIT_S
        while (remaining_s := end - boottime()) > 0 and self._is_order_unchanged():
            stepped = self.stepped
            with suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await stepped.wait()

    def _is_order_unchanged(self) -> bool:
        if self.endpoint is None or not self.endpoint.is_ready or self.is_leaving:
            return False
        if self.writes:
            return True
        if self.moves or self.ordered_ranges is None:
            return False
        wanted = {key for key, hold in self.holds.holds.items() if not hold.is_refused}
        return wanted == set(self.ordered_ranges)

    def _note_order(self, order: HoldOrder | None) -> None:
        """Count an order, and log it if it differs from the one before."""
        self.counters["orders" if order else "heartbeats_without_order"] += 1
        ranges = None
        if order is not None:
            ranges = tuple((r.first, r.last, r.fence) for r in order.ranges)
        if ranges == self.ordered_ranges:
            return
        before = set(self.ordered_ranges or ())
        self.ordered_ranges = ranges
        log.info(
            "holds_ordered",
            ranges=0 if ranges is None else len(ranges),
            added=[r for r in ranges or () if r not in before][:MAX_LOGGED_RANGES],
            left_out=sorted(before - set(ranges or ()))[:MAX_LOGGED_RANGES],
            hold_s=round(order.hold_s, 2) if order else 0.0,
            renewed_ago_s=round(boottime() - self.registration.renewed_at, 2),
            revision=self.tables.revision,
        )

    def _note_granted(self) -> None:
        granted, self.granted = self.granted, asyncio.Event()
        granted.set()

    def _is_heartbeat_overdue(self) -> bool:
        """Return whether a live endpoint would have sent a heartbeat by now."""
        return boottime() - self.started_at >= FIRST_HEARTBEAT_TIMEOUT_S

    def _adopt(self, ranges: list[KeyRange]) -> None:
        """Reassign ranges of an earlier incarnation on this VM to the current one."""
        if not ranges or "adopt" in self.writes:
            return
        owner = self.owner

        def transform(table: RangeTable | None) -> RangeTable | None:
            changed = None
            for r in table.owned_by(self.vm):
                if r.owner != owner:
                    changed = reassign(changed or table, r.first, r.last, owner)
            return changed

        self._start_write("adopt", "new life of the endpoint", transform)

    def _raise_fences(self) -> None:
        refused = self.holds.refused()
        if not refused or "fence" in self.writes:
            return
        owner = self.owner

        def transform(table: RangeTable | None) -> RangeTable | None:
            changed = None
            for old in refused:
                r = table.find(old.first)
                if r.owner == owner and r.fence == old.fence:
                    changed = reassign(
                        changed or table, r.first, r.last, owner, r.handover
                    )
            return changed

        self._start_write("fence", "a higher fence is needed", transform)

    def _start_write(self, key: str, reason: str, transform) -> None:
        async def write() -> None:
            try:
                await self.tables.change(reason, transform)
            finally:
                self.writes.pop(key, None)
                self.wake.set()

        self.writes[key] = asyncio.ensure_future(write())

    def _send_grants(self) -> None:
        now = boottime()
        commands = self.holds.due_grants(self.right.until, now)
        self.right.covers_all([command.key_range for command in commands])
        for command in commands:
            if not self.right.covers(command.key_range):
                continue
            key = (
                command.key_range.first,
                command.key_range.last,
                command.key_range.fence,
            )
            if key in self.grants:
                continue
            self.holds.note_sent(command, now)
            self.grants[key] = asyncio.ensure_future(self._grant(key, command, now))

    async def _grant(
        self, key: tuple[int, int, int], command: GrantCommand, planned_at: float
    ) -> None:
        r = command.key_range
        holds = self.holds
        sent_at = boottime()
        self.counters["grants"] += 1
        if r.owner is not None:
            # The lines of this task name the incarnation that the grant is meant for.
            bind_contextvars(
                endpoint=r.owner.endpoint_id,
                born=r.owner.born,
                first=r.first,
                fence=r.fence,
            )
        try:
            is_granted = await self.commands.grant(
                r.first,
                r.last,
                r.fence,
                command.end,
                r.handover,
                partial(self._may_send, r),
            )
        except EndpointUnresponsiveError as error:
            self.counters["grants_unanswered"] += 1
            holds.note_unanswered(command, error.hold_end)
            log.info(
                "grant_unanswered",
                first=r.first,
                fence=r.fence,
                planned_ago_s=round(boottime() - planned_at, 3),
                error=str(error),
            )
            return
        except FenceBoundError as error:
            self._require_fences_for(error.group)
            return
        except (
            EndpointGoneError,
            EndpointUnconfirmedError,
            GrantDelayedError,
        ) as error:
            self.counters["grants_not_sent"] += 1
            log.info("grant_not_sent", first=r.first, error=str(error))
            return
        finally:
            self.grants.pop(key, None)
        if is_granted:
            hold = holds.find(r.first)
            is_current = r.owner == self.owner
            if not is_current:
                self.counters["grants_of_former_incarnations"] += 1
            is_new = hold is not None and not hold.is_accepted
            is_start = hold is not None and hold.certain_until < sent_at
            if is_new or is_start or not is_current:
                log.info(
                    "granted",
                    first=r.first,
                    last=r.last,
                    fence=r.fence,
                    range_revision=self.tables.revision_of(r.first),
                    known_revision=self.tables.mirror.revision,
                    lease_revision=self.registration.lease_revision,
                    renewed_ago_s=round(boottime() - self.registration.renewed_at, 2),
                    is_current=is_current,
                    planned_ago_s=round(boottime() - planned_at, 3),
                    answered_after_s=round(boottime() - sent_at, 3),
                )
            holds.note_granted(command, sent_at)
            self._note_granted()
        else:
            log.warning("grant_refused", first=r.first, last=r.last, fence=r.fence)
            holds.note_refused(command)
            self.wake.set()

    def _may_send(self, key_range: KeyRange, group: int) -> bool:
        """Return whether a grant of a range may be sent over a group now."""
        hold = self.holds.find(key_range.first)
        if hold is None or hold.key_range.fence != key_range.fence:
            return False
        return self.fences.claim(key_range.fence, group)

    def _require_fences_for(self, group: int) -> None:
        """Request higher fences for ranges whose fences may not be sent over a group.

        They may have been sent to an earlier incarnation of the endpoint.
        """
        bound = [
            hold
            for hold in self.holds.holds.values()
            if not hold.is_refused
            and not self.fences.is_claimable(hold.key_range.fence, group)
        ]
        if not bound:
            return
        self.counters["fences_bound"] += len(bound)
        log.info("fences_bound", group=group, ranges=len(bound))
        for hold in bound:
            hold.is_refused = True
        self.wake.set()

    def _hand_over(self, ranges: list[KeyRange], reason: str) -> None:
        if not ranges or not self.other_owners():
            return
        now = boottime()
        for r in ranges:
            if now >= self.retry_move_at.get((r.first, r.last), 0.0):
                self._start_move(r.first, r.last, reason, self._distribute(r))

    def _distribute(self, old: KeyRange):
        def transform(table: RangeTable, token: str) -> RangeTable | None:
            others = self.other_owners()
            r = table.find(old.first)
            if not others or r.owner != old.owner:
                return None
            return distribute(table, [_with_token(r, token)], others)

        return transform

    def other_owners(self) -> list[Owner]:
        """Return the other endpoints that may own keys of the service."""
        return [
            Owner(node.vm, node.endpoint.id, node.endpoint.born)
            for node in self.nodes.endpoints_of(self.tables.service)
            if node.vm != self.vm and not node.is_stopping
        ]

    def _start_move(self, first: int, last: int, reason: str, transform) -> None:
        if (first, last) in self.moves:
            return
        if any(begin <= last and first <= end for begin, end in self.moves):
            return
        if self.heartbeat_holds is None:
            self.holds.start_release(first, last)
        task = asyncio.ensure_future(self._move(first, last, reason, transform))
        self.moves[first, last] = task
        self.wake.set()

    async def _move(self, first: int, last: int, reason: str, transform) -> None:
        log.info("move_started", first=first, last=last, reason=reason)
        holds = self.holds
        is_moved = False
        try:
            token = await self._release(first, last)
            is_moved = await self.tables.change(
                reason, lambda table: table and transform(table, token)
            )
            if is_moved:
                self.on_moved(first, last)
        finally:
            if self.heartbeat_holds is None and not is_moved:
                holds.stop_release(first, last)
            self.moves.pop((first, last), None)
            self.retry_move_at.pop((first, last), None)
            if not is_moved:
                if self.tables.has_unanswered_write(first, last):
                    # The store may still carry out the move. A write of a higher fence
                    # either makes it void or conflicts with it.
                    holds.require_higher_fence(first, last)
                # The range may come from an update that the mirror does not have yet.
                self.retry_move_at[first, last] = boottime() + CHECK_INTERVAL_S
            self.wake.set()

    def _reclaim(self, key_range: KeyRange) -> None:
        """Release a range at the endpoint that was given to another owner."""
        first, last, fence = key_range.first, key_range.last, key_range.fence
        log.warning("range_lost", first=first, last=last, fence=fence)
        self.counters["ranges_lost"] += 1
        holds = self.holds

        async def release() -> None:
            started_at = boottime()
            await self._wait_for_grants(first, last)
            token = await self.releaser.release(holds, first, last, fence)
            self._log_released(holds, first, last, bool(token), started_at)

        task = asyncio.ensure_future(release())
        self.reclaims.add(task)
        task.add_done_callback(self.reclaims.discard)

    async def _wait_for_grants(self, first: int, last: int) -> None:
        """Wait for grants in flight, which could be accepted after a release."""
        pending = [
            task
            for (begin, end, _), task in self.grants.items()
            if begin <= last and first <= end
        ]
        if pending:
            await asyncio.wait(pending)

    def _log_released(
        self, holds: HoldTracker, first: int, last: int, is_proven: bool, since: float
    ) -> None:
        is_gone = self.releaser.is_gone
        log_release(holds, first, last, release_proof(is_proven, is_gone), since)

    async def _release(self, first: int, last: int) -> str:
        """Release keys; return their token once the endpoint certainly holds none."""
        holds, started_at = self.holds, boottime()
        if self.heartbeat_holds is not None:
            token = await self._release_by_heartbeat(first, last)
            self._log_released(holds, first, last, bool(token), started_at)
            return token
        await self._wait_for_grants(first, last)
        table = self.tables.table
        tokens = []
        for r in table.owned_by(self.vm) if table else []:
            if r.last < first or r.first > last or r.owner != self.owner:
                continue
            part = (max(first, r.first), min(last, r.last), r.fence)
            tokens.append(await self.releaser.release(holds, *part))
        is_proven = bool(tokens) and all(tokens)
        if is_proven:
            # The endpoint may execute an unanswered grant after the release.
            await self.releaser.sleep_until(holds.unanswered_until(first, last))
        else:
            await self.releaser.sleep_until(holds.possible_until(first, last))
        self._log_released(holds, first, last, is_proven, started_at)
        return tokens[0] if is_proven and len(tokens) == 1 else ""

    async def _release_by_heartbeat(self, first: int, last: int) -> str:
        """Wait for a heartbeat that proves the release, or until the hold has ended."""
        end = self.holds.possible_until(first, last)
        release = asyncio.ensure_future(self.heartbeat_holds.release(first, last))
        try:
            while not release.done():
                remaining_s = end - boottime()
                if remaining_s <= 0 or self.releaser.is_gone:
                    return ""
                timeout_s = min(remaining_s, CHECK_INTERVAL_S)
                await asyncio.wait({release}, timeout=timeout_s)
            return release.result()
        finally:
            release.cancel()


def _with_token(r: KeyRange, token: str) -> KeyRange:
    return KeyRange(r.first, r.last, r.owner, r.fence, token)
