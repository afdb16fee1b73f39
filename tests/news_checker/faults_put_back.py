"""Faults of the way of new settings, each as a small patch of the product.

Gossip makes up for most faults of the watch. So these are put back without it, as the
product was then, and only orders count that the product without gossip passes.
"""

from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass
from unittest.mock import patch

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination import feed, mirror, relay
from sesamepost.internal.coordination.gossip import KeyGossip
from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.coordination.relay import RelayedStore, perform
from sesamepost.internal.coordination.store import (
    Deletion,
    StoreSilentError,
    WatchOverdueError,
)
from tests.checker.faults_put_back import patched
from tests.checker.trace import no_logs
from tests.news_checker.order import Breach, draw_order, run_order


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that is put back in addition to ``base``.

    ``order`` is the number of the first order of seed 1 that passes with ``base`` alone
    and fails with the fault.
    """

    name: str
    put_back: Callable[[], AbstractContextManager]
    order: int | None = None
    base: Callable[[], AbstractContextManager] = nullcontext


def no_gossip() -> AbstractContextManager:
    """Learn of new settings by the watch alone."""
    return patched(no_announcements(), no_queries())


def no_announcements() -> AbstractContextManager:
    """Tell no peer of a new revision."""
    return patch.object(KeyGossip, "_on_change", lambda self, event: None)


def no_queries() -> AbstractContextManager:
    """Neither ask peers nor read the key."""

    async def step(self) -> None:
        return

    return patch.object(KeyGossip, "step", step)


def watch_sent_again_into_silence() -> AbstractContextManager:
    """Send a watch anew that another call has found to be lost; probe for long."""

    async def call_direct(self, operation: str, arguments: list):
        if operation != "watch":
            return await perform(self.direct, operation, arguments)
        sent_at = boottime()
        try:
            return await self._watch_direct(arguments)
        except StoreSilentError as error:
            if boottime() - sent_at > arguments[-1]:
                raise WatchOverdueError(str(error)) from None
            return await self._watch_direct(arguments)

    return patched(no_gossip(), patch.object(RelayedStore, "_call_direct", call_direct))


def unbounded_relay() -> AbstractContextManager:
    """Try three peers one after the other, however long that takes."""
    return patch.object(relay, "MAX_RELAY_S", 60.0)


def age_from_arrival() -> AbstractContextManager:
    """Date what the node knows from the arrival of an answer."""
    original = Mirror._record_confirmation

    def record(self, as_of, source, batch, sent_at) -> None:
        original(self, boottime(), source, batch, sent_at)

    return patch.object(Mirror, "_record_confirmation", record)


def settings_go_back() -> AbstractContextManager:
    """Apply an item that is older than the one held."""
    original = Mirror._apply

    def apply(self, event, now: float) -> None:
        if not isinstance(event, Deletion):
            self.items.pop(event.key, None)
        original(self, event, now)

    return patch.object(Mirror, "_apply", apply)


def long_idle_watch() -> AbstractContextManager:
    """Let an idle watch wait so long that a lost one is noticed late."""
    pace = mirror.WatchPace(pause_s=0.8, wait_s=10.0)
    return patched(
        patch.object(mirror, "WATCH_PACE", pace), patch.object(feed, "WATCH_PACE", pace)
    )


FAULTS = (
    Fault("grown-config: settings come by the watch alone", no_gossip, 0),
    Fault("a new revision is not announced", no_announcements),
    Fault("nodes neither ask peers nor read", no_queries),
    Fault(
        "grown-config: a watch is sent again into the same silence",
        watch_sent_again_into_silence,
        65,
        no_gossip,
    ),
    Fault(
        "grown-config: peers are tried without a limit together",
        unbounded_relay,
        base=no_gossip,
    ),
    Fault(
        "grown-config: an age counts from the arrival", age_from_arrival, base=no_gossip
    ),
    Fault("of our choice: an older item replaces a newer one", settings_go_back, 0),
    Fault("of our choice: an idle watch waits 10 s", long_idle_watch, 2, no_gossip),
)


def breach_by(fault: Fault, number: int) -> Breach | None:
    """Return the first rule that an order of seed 1 breaks only with a fault."""
    order = draw_order(f"1-{number}")
    with no_logs():
        with fault.base(), fault.put_back():
            breaches = run_order(order)
        if not breaches:
            return None
        with fault.base():
            return None if run_order(order) else breaches[0]
