"""How many requests a cold endpoint gets, at its node and from each sender.

An endpoint crashes if it gets too many requests while it is cold, and it may turn cold
at any moment. Only the node beside it can reach it, so ``ColdLimit`` of that node keeps
the bound for the whole fleet. All functions are pure; ``now`` is passed in.
"""

import random
from collections import deque

# Starts are counted over this time, as operators do.
WINDOW_S = 1.0
# Operators allow 1.5 times the tolerated rate plus 8 requests in any second. The limit
# stays below, since requests may be delayed between their start and the endpoint.
UNPROVEN_OVERAGE = 1.5
UNPROVEN_SLACK = 4.0
# A check is due once this share of the unproven requests has started.
CHECK_SHARE = 0.6
# Checks that prove nothing are repeated at this interval.
CHECK_INTERVAL_S = 0.1
# Expected time of a check, for requests that wait for it.
CHECK_TIME_S = 0.02
# A request that would wait longer for a cold endpoint is refused at once.
MAX_QUEUE_S = 0.25
# Starts that late timers have missed may be made up for, up to this many.
CATCH_UP_STARTS = 1.0
# Times above this are no valid cold times.
MAX_COLD_S = 600.0
# All senders together may choose a cold endpoint at this multiple of its rate, since
# not all of them have requests.
SENDER_OVERAGE = 2.0


class ColdLimit:
    """Limits the starts of requests at an endpoint that is cold, or may be.

    An endpoint counts as cold until ``cold_until``. At other times it may have turned
    cold since ``proven_at``, when a check was sent that found it warm. While
    ``is_assumed``, the cold time is not known and the longest one is assumed. Without a
    tolerated rate, all starts are allowed.

    ``started_at`` is the start of this process. A previous one may have sent any number
    of requests in the second before.
    """

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.tolerated_per_s = 0.0
        self.cold_start_s = 0.0
        self.cold_until = float("-inf")
        self.is_assumed = False
        self.assumed_at = float("-inf")
        self.proven_at = float("-inf")
        self.checked_at = float("-inf")
        self.next_start_at = float("-inf")
        self.starts: deque[float] = deque()

    def set_service(self, tolerated_per_s: float, cold_start_s: float) -> None:
        """Apply the settings of the endpoint's service; 0 a second means no limit."""
        self.tolerated_per_s = tolerated_per_s
        self.cold_start_s = cold_start_s
        if self.is_assumed:
            self.cold_until = self.assumed_at + cold_start_s

    def note_incarnation(self, now: float) -> None:
        """Assume that a new incarnation of the endpoint is cold."""
        self.cold_until = now + self.cold_start_s
        self.is_assumed = True
        self.assumed_at = now
        self.proven_at = float("-inf")

    def note_cold(self, cold_s: float, now: float) -> None:
        """Record that the endpoint says it stays cold for ``cold_s``.

        The message may be late, so it never shortens a time that the endpoint has
        stated, and 0 proves nothing about the present.
        """
        until = now + cold_s
        self.cold_until = until if self.is_assumed else max(self.cold_until, until)
        self.is_assumed = False

    def note_checked(self, sent_at: float, cold_s: float, now: float) -> None:
        """Record the result of a check that was sent at ``sent_at``."""
        self.note_cold(cold_s, now)
        if cold_s == 0:
            self.proven_at = sent_at

    def note_start(self, now: float) -> None:
        """Count the start of a request."""
        if not self.tolerated_per_s:
            return
        self.starts.append(now)
        interval_s = 1 / self.tolerated_per_s
        earliest = now - CATCH_UP_STARTS * interval_s
        next_start_at = max(self.next_start_at, earliest) + interval_s
        # Starts at a warm endpoint may be more frequent and must leave no debt.
        self.next_start_at = min(next_start_at, now + interval_s)

    def is_cold(self, now: float) -> bool:
        """Return whether the tolerated rate of a cold endpoint applies."""
        return self.tolerated_per_s > 0 and now < self.cold_until

    def may_start(self, now: float) -> bool:
        """Return whether a request may start now."""
        if not self.tolerated_per_s:
            return True
        if self._may_window_be_full(now):
            return False
        if now < self.cold_until:
            starts = self._count_starts(now - WINDOW_S, now)
            return now >= self.next_start_at and starts < max(1, self.tolerated_per_s)
        return self._count_unproven(now) < self._unproven_limit()

    def wait_s(self, ahead: int, now: float) -> float:
        """Return the expected wait of a request behind ``ahead`` others."""
        if self.is_cold(now):
            wait_s = max(0.0, self.next_start_at - now) + ahead / self.tolerated_per_s
            if self._may_window_be_full(now):
                wait_s = max(wait_s, self.started_at + WINDOW_S - now)
            return min(wait_s, self.cold_until - now)
        return 0.0 if self.may_start(now) else CHECK_TIME_S

    def max_queued(self, now: float) -> int | None:
        """Return how many requests may wait, or None if there is no limit."""
        if not self.is_cold(now):
            return None
        return int(MAX_QUEUE_S * self.tolerated_per_s) + 1

    def needs_check(self, now: float) -> bool:
        """Return whether the endpoint must be asked whether it is cold."""
        if not self.tolerated_per_s or now - self.checked_at < CHECK_INTERVAL_S:
            return False
        if self.is_assumed or self._may_window_be_full(now):
            return True
        if now < self.cold_until:
            return False
        return self._count_unproven(now) >= CHECK_SHARE * self._unproven_limit()

    def _may_window_be_full(self, now: float) -> bool:
        """Return whether a previous process may have used up the present second."""
        return self.proven_at < self.started_at and now - self.started_at < WINDOW_S

    def _unproven_limit(self) -> float:
        return UNPROVEN_OVERAGE * self.tolerated_per_s + UNPROVEN_SLACK

    def _count_unproven(self, now: float) -> int:
        return self._count_starts(max(self.proven_at, now - WINDOW_S), now)

    def _count_starts(self, since: float, now: float) -> int:
        while self.starts and self.starts[0] < now - WINDOW_S:
            self.starts.popleft()
        return sum(start >= since for start in self.starts)


class ColdShare:
    """The part of a cold endpoint's rate that one of several senders uses."""

    __slots__ = ("interval_s", "next_at", "until")

    def __init__(self) -> None:
        self.until = float("-inf")
        self.interval_s = 0.0
        self.next_at = float("-inf")

    def note_cold(
        self, cold_s: float, tolerated_per_s: float, senders: int, now: float
    ) -> None:
        """Record what is known about the endpoint and how many nodes send to it."""
        if cold_s <= 0 or tolerated_per_s <= 0:
            self.until = float("-inf")
            return
        interval_s = max(1, senders) / (SENDER_OVERAGE * tolerated_per_s)
        if now >= self.until:
            # Senders that learn at the same time start at different ones.
            self.next_at = now + random.random() * interval_s
        self.until = now + cold_s
        self.interval_s = interval_s

    def note_sent(self, now: float) -> None:
        """Count a request of this node."""
        if now < self.until:
            self.next_at = max(self.next_at, now) + self.interval_s

    def is_cold(self, now: float) -> bool:
        """Return whether the endpoint is known to be cold."""
        return now < self.until

    def wait_s(self, now: float) -> float:
        """Return the time until this node may choose the endpoint again."""
        return max(0.0, min(self.next_at, self.until) - now)
