"""Tracks the holds of the local endpoint and the grants that are due.

Each hold has three deadlines. Until ``certain_until`` the endpoint certainly holds the
range, so requests may be sent to it. Until ``possible_until`` it may hold the range by
a grant or an order of this process. Until ``unanswered_until`` it may yet execute a
grant that it has not answered, even after a release, and hold the range by it.

``assumed_until`` is the deadline of all that a tracker has no record of: grants of the
previous process of the node, and of the former incarnation of the endpoint.

No other endpoint may get keys before these deadlines, except by the proofs that
``hold_ends`` lists.
"""

from collections.abc import Collection
from dataclasses import dataclass, replace

from sesamepost.internal.ranges.hold_times import (
    HOLD_S,
    LONGEST_HOLD_S,
    MIN_HOLD_S,
    GrantCommand,
    hold_end,
    hold_s_until,
)
from sesamepost.internal.ranges.table import KeyRange, uncovered

# Other nodes wait this much longer than a hold before a takeover, since timers may
# fire late.
TAKEOVER_SLACK_S = 0.4
# A hold is renewed when less than this share of the longest hold is left.
RENEWAL_SHARE = 0.6
GRANT_RETRY_S = 0.25


@dataclass(slots=True)
class Hold:
    """The hold of one range, as far as this node knows."""

    key_range: KeyRange
    certain_from: float = 0.0
    certain_until: float = 0.0
    possible_until: float = 0.0
    unanswered_until: float = 0.0
    retry_at: float = 0.0
    # Whether the range needs a higher fence before its next grant.
    is_refused: bool = False
    is_releasing: bool = False
    # Whether another endpoint may hold the range since the store came back older, and
    # the last era of the store in which that was ruled out. See ``era_guard``.
    is_unproved: bool = False
    proved_era: int = -1
    # Whether keys of the range were released for a move since it was last granted.
    was_released: bool = False
    # The highest fence of a grant of this process that the endpoint has accepted for
    # these keys. It refuses grants with lower fences, such as late ones of the previous
    # process.
    accepted_fence: int | None = None

    @property
    def is_accepted(self) -> bool:
        """Whether the endpoint holds or held the range under its present fence."""
        return self.accepted_fence == self.key_range.fence

    @property
    def is_grantable(self) -> bool:
        """Whether the range may be granted under its present fence."""
        return not self.is_refused and not self.is_unproved

    def is_certain(self, now: float) -> bool:
        """Return whether the endpoint certainly holds the range and nobody else can."""
        is_kept = not self.is_releasing and not self.was_released
        return is_kept and not self.is_refused and now < self.certain_until

    def note_possible(self, until: float) -> None:
        """Record that the endpoint may hold the range until ``until``."""
        self.possible_until = max(self.possible_until, until)

    def overlaps(self, first: int, last: int) -> bool:
        """Return whether the range has any of these keys."""
        return self.key_range.first <= last and first <= self.key_range.last


class HoldTracker:
    """The holds of one incarnation of an endpoint.

    All times are in seconds on the clock of ``internal/clock``. No hold is longer than
    ``max_hold_s``. Until ``assumed_until`` the endpoint may hold any key.
    """

    def __init__(self, max_hold_s: float = HOLD_S, assumed_until: float = 0.0) -> None:
        self.max_hold_s = min(HOLD_S, max_hold_s)
        self.assumed_until = assumed_until
        self.holds: dict[tuple[int, int, int], Hold] = {}
        # Holds of ranges that this node no longer owns, until they certainly ended.
        self.past: list[Hold] = []
        # Those of them that the endpoint was not told to release.
        self.lost: list[Hold] = []
        # First and last key of the ranges in the last report of the endpoint, and the
        # time until which it may hold them by orders of any process of this node.
        self.reported: list[tuple[int, int, float]] = []
        # Keys that the endpoint was told to release in an answer to its heartbeat.
        self.released_keys: tuple[tuple[int, int], ...] = ()

    @classmethod
    def after_restart(cls, max_hold_s: float, now: float) -> "HoldTracker":
        """Return the tracker of a process that started at ``now``.

        The last grant of the previous process is as old as that at least.
        """
        return cls(max_hold_s, now + LONGEST_HOLD_S)

    def set_ranges(self, ranges: list[KeyRange], now: float) -> None:
        """Set the ranges that the endpoint should hold from now on.

        A part of a split range keeps the state of the hold that covers it. So does a
        range with a higher fence, until the endpoint has accepted that.
        """
        before = list(self.holds.values())
        self.holds = {}
        for key_range in ranges:
            key = _key(key_range)
            self.holds[key] = self._carry_over_state(key_range, before)
        dropped = [h for h in before if _key(h.key_range) not in self.holds]
        self.past = [h for h in [*self.past, *dropped] if h.possible_until > now]
        self.lost += [h for h in dropped if h in self.past and not h.is_releasing]

    def take_lost(self) -> list[KeyRange]:
        """Return the ranges that were given to others since the last call.

        The endpoint may still hold them. Parts that this node owns again, under another
        fence, are left out.
        """
        lost, self.lost = self.lost, []
        owned = [(h.key_range.first, h.key_range.last) for h in self.holds.values()]
        return [
            replace(hold.key_range, first=first, last=last)
            for hold in lost
            for first, last in uncovered(
                hold.key_range.first, hold.key_range.last, owned
            )
        ]

    def due_grants(self, may_grant_until: float, now: float) -> list[GrantCommand]:
        """Return the grants to send now."""
        end = min(may_grant_until, hold_end(self.max_hold_s, now))
        hold_s = hold_s_until(end, now)
        if hold_s < MIN_HOLD_S:
            return []
        commands = []
        for hold in self.holds.values():
            if not hold.is_grantable or hold.is_releasing or now < hold.retry_at:
                continue
            remaining_s = hold.certain_until - now
            is_long = remaining_s > self.max_hold_s * RENEWAL_SHARE
            # The endpoint should see a new fence soon, even if it holds the keys.
            if hold.is_accepted and (is_long or hold_s < remaining_s + MIN_HOLD_S):
                continue
            commands.append(GrantCommand(hold.key_range, end))
        return commands

    def note_sent(self, command: GrantCommand, now: float) -> None:
        """Record that a grant will be sent, so the endpoint may hold the range."""
        hold = self.holds.get(_key(command.key_range))
        if hold is None:
            return
        hold.note_possible(command.end)
        if not hold.is_accepted:
            # It replaces the hold under the former fence, which may be longer.
            hold.certain_until = min(hold.certain_until, command.certain_end(now))
        hold.retry_at = now + GRANT_RETRY_S

    def note_granted(self, command: GrantCommand, sent_at: float) -> None:
        """Record that the endpoint accepted a grant that was sent after ``sent_at``."""
        hold = self.holds.get(_key(command.key_range))
        if hold is None:
            return
        hold.certain_until = max(hold.certain_until, command.certain_end(sent_at))
        hold.retry_at = 0.0
        hold.was_released = False
        hold.accepted_fence = hold.key_range.fence

    def note_unanswered(self, command: GrantCommand, end: float) -> None:
        """Record that a grant was not answered, so it may be executed much later.

        ``end`` is the latest end of its hold, which is later than that of the command
        if the grant was sent too late.
        """
        until = max(end, command.end)
        first, last = command.key_range.first, command.key_range.last
        # A range that was lost meanwhile may get these keys again.
        for hold in [
            *self._overlapping(first, last),
            *self._past_overlapping(first, last),
        ]:
            hold.unanswered_until = max(hold.unanswered_until, until)
            hold.note_possible(until)

    def note_report(
        self, held: Collection[tuple[int, int]], is_complete: bool, now: float
    ) -> None:
        """Record the first and last keys of the ranges that the endpoint reports.

        A complete report was sent after the endpoint had read the last answer, so it
        holds nothing else, whatever a previous process may have ordered.
        """
        until = now + LONGEST_HOLD_S
        reported = [(first, last, until) for first, last in held]
        if not is_complete:
            self.reported += reported
            return
        self.assumed_until = 0.0
        self.reported = reported
        for hold in [*self.holds.values(), *self.past]:
            if not any(hold.overlaps(first, last) for first, last in held):
                hold.possible_until = min(hold.possible_until, now)

    def note_refused(self, command: GrantCommand) -> None:
        """Record that the endpoint has seen a higher fence, so this one is unusable."""
        hold = self.holds.get(_key(command.key_range))
        if hold is not None:
            hold.is_refused = True
            hold.certain_until = 0.0

    def require_higher_fence(self, first: int, last: int) -> None:
        """Send no more grants of the ranges with these keys under their fences."""
        for hold in self._overlapping(first, last):
            hold.is_refused = True

    def refused(self) -> list[KeyRange]:
        """Return the ranges that need a higher fence."""
        return [h.key_range for h in self.holds.values() if h.is_refused]

    def may_run(self, key: int, now: float) -> bool:
        """Return whether the endpoint certainly holds ``key``."""
        hold = self.find(key)
        return (
            hold is not None
            and not hold.is_releasing
            and hold.certain_from <= now < hold.certain_until
            and not self.is_released(key)
        )

    def is_released(self, key: int) -> bool:
        """Return whether the endpoint was told with a heartbeat to release ``key``."""
        return any(first <= key <= last for first, last in self.released_keys)

    def find(self, key: int) -> Hold | None:
        """Return the hold of the range with ``key``, or None."""
        for hold in self.holds.values():
            if hold.key_range.first <= key <= hold.key_range.last:
                return hold
        return None

    def start_release(self, first: int, last: int) -> None:
        """Send no more grants of the ranges that overlap these keys."""
        for hold in self._overlapping(first, last):
            hold.is_releasing = True

    def note_released(self, first: int, last: int) -> None:
        """Record that the endpoint has released these keys, so others may get them."""
        for hold in self._overlapping(first, last):
            hold.was_released = True

    def stop_release(self, first: int, last: int) -> None:
        """Allow grants of the ranges again after a move has ended."""
        for hold in self._overlapping(first, last):
            hold.is_releasing = False
            hold.certain_until = 0.0

    def possible_until(self, first: int, last: int) -> float:
        """Return the time until which the endpoint may hold any of these keys."""
        holds = [*self._overlapping(first, last), *self._past_overlapping(first, last)]
        reported = [
            until
            for begin, end, until in self.reported
            if begin <= last and first <= end
        ]
        return max([self.assumed_until, *reported, *(h.possible_until for h in holds)])

    def unanswered_until(self, first: int, last: int) -> float:
        """Return the time until which an unanswered grant may still give these keys.

        The previous process may have sent grants that nobody knows of, which the
        endpoint executes unless it has seen a higher fence.
        """
        current = self._overlapping(first, last)
        holds = [*current, *self._past_overlapping(first, last)]
        until = max((h.unanswered_until for h in holds), default=0.0)
        if current and all(hold.accepted_fence is not None for hold in current):
            return until
        return max(until, self.assumed_until)

    def _overlapping(self, first: int, last: int) -> list[Hold]:
        return [h for h in self.holds.values() if h.overlaps(first, last)]

    def _past_overlapping(self, first: int, last: int) -> list[Hold]:
        return [h for h in self.past if h.overlaps(first, last)]

    def _carry_over_state(self, key_range: KeyRange, before: list[Hold]) -> Hold:
        for hold in before:
            held = hold.key_range
            if held.first > key_range.first or key_range.last > held.last:
                continue
            if held.fence == key_range.fence:
                return replace(hold, key_range=key_range, is_releasing=False)
            is_raised = held.fence < key_range.fence and not hold.is_releasing
            if is_raised and hold.accepted_fence is not None:
                return replace(
                    hold, key_range=key_range, retry_at=0.0, is_refused=False
                )
            return Hold(key_range, proved_era=hold.proved_era)
        return Hold(key_range)


def _key(key_range: KeyRange) -> tuple[int, int, int]:
    return key_range.first, key_range.last, key_range.fence
