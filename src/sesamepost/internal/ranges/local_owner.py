"""The local endpoint as an owner of ranges, as far as its node knows."""

from collections.abc import Callable

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.nodes import EndpointInfo
from sesamepost.internal.ranges.hold_ends import HoldEnds
from sesamepost.internal.ranges.hold_times import HOLD_S
from sesamepost.internal.ranges.holds import HoldTracker
from sesamepost.internal.ranges.table import KeyRange, Owner


class LocalOwner:
    """The present incarnation of the local endpoint and its holds.

    An endpoint that is not confirmed is known only from the previous process of this
    node. It may be another incarnation under the same id, so it gets no grants yet. It
    may still hold what it was granted until ``inherited_until``, and refuses requests
    itself if not. ``was_seen`` says that this process knows of any incarnation.
    """

    def __init__(self, vm: str, max_hold_s: float) -> None:
        self.vm = vm
        # Called after the ranges are set, before any of them is granted.
        self.review: Callable[[HoldTracker, float], None] = lambda holds, now: None
        self.started_at = boottime()
        self.ends = HoldEnds()
        self.holds = HoldTracker.after_restart(max_hold_s, self.started_at)
        self.endpoint: EndpointInfo | None = None
        self.incarnation: tuple[str, int] | None = None
        self.was_seen = False
        self.is_confirmed = False
        self.is_leaving = False
        # Whether other nodes were told that the endpoint has ended.
        self.is_end_reported = False
        self.inherited_until = self.started_at + HOLD_S

    @property
    def owner(self) -> Owner | None:
        """The endpoint as an owner in the table."""
        if self.endpoint is None:
            return None
        return Owner(self.vm, self.endpoint.id, self.endpoint.born)

    @property
    def is_serving(self) -> bool:
        """Whether the endpoint is to hold ranges."""
        return (
            self.endpoint is not None and self.endpoint.is_ready and not self.is_leaving
        )

    def set_endpoint(
        self, endpoint: EndpointInfo | None, is_gone: bool, is_confirmed: bool
    ) -> None:
        """Update what is known of the endpoint.

        ``is_gone`` says that its process has ended, so that its holds are void. A
        heartbeat of another endpoint does not prove that the earlier one has ended,
        since it may come from another writer. So the holds run on until they are
        released or end, or until ``is_gone``.
        """
        self.is_confirmed = is_confirmed
        incarnation = endpoint.incarnation if endpoint else None
        if is_gone:
            self.ends.log_void(self.holds, self.incarnation)
        if endpoint is None:
            is_gone |= self.ends.has_process_ended
        elif incarnation != self.incarnation and self.incarnation is not None:
            self.ends.log_replaced(self.holds, self.incarnation, endpoint)
            self.holds = HoldTracker(
                self.holds.max_hold_s, self.ends.assumed_until(self.holds)
            )
        self.incarnation = incarnation or self.incarnation
        self.endpoint = endpoint
        self.was_seen |= endpoint is not None or is_gone
        self.ends.has_process_ended = is_gone

    def set_ranges(self, owned: list[KeyRange]) -> list[KeyRange]:
        """Set the ranges of this VM in the table; return what the endpoint has lost."""
        current = [r for r in owned if r.owner == self.owner]
        now = boottime()
        self.holds.set_ranges(current, now)
        self.review(self.holds, now)
        return self.holds.take_lost()

    @property
    def may_hold_inherited(self) -> bool:
        """Whether the endpoint is assumed to hold what the previous process granted."""
        return not self.is_confirmed and boottime() < self.inherited_until

    def note_key_refused(self, key: int) -> bool:
        """Record that the endpoint reported no hold of ``key``.

        Return whether the key should be granted again.
        """
        self.inherited_until = 0.0
        hold = self.holds.find(key)
        # If the key is released, the request has crossed that.
        if hold is None or self.holds.is_released(key):
            return False
        hold.certain_until = 0.0
        hold.retry_at = 0.0
        return True
