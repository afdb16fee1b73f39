"""Failure domains that the operator has evacuated.

A key of the store that consists of a prefix and the name of a failure domain asks that
no request be sent to the endpoints of that domain until the key is removed. The value
of the key is not read.
"""

from collections import Counter
from collections.abc import Callable

import structlog

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.coordination.store import Item
from sesamepost.internal.limits import MAX_NAME_LENGTH

# An evacuated owner serves its keys while it hands them over, but not for longer.
KEY_SERVING_S = 1.0
# Nor for longer than this after the last time at which there was certainly no
# evacuation: five seconds after the operator's write, no request may be sent.
MAX_KEY_SERVING_AGE_S = 3.5
# Endpoints of a domain that was taken back may all be cold. Each receives its first
# keys this much later than the one before.
RETURN_INTERVAL_S = 1.0

log = structlog.get_logger()


class Evacuations:
    """The evacuated domains in a mirror; there are none if ``prefix`` is empty.

    ``confirmed_at`` returns the time at which what the mirror holds was last known to
    be current. ``listeners`` are called with the name of a domain after each change.
    """

    def __init__(self, prefix: str, mirror: Mirror) -> None:
        self.prefix = prefix
        self.mirror = mirror
        # When the owners in a domain stop serving keys, by evacuated domain.
        self.closing_at: dict[str, float] = {}
        self.taken_back_at: dict[str, float] = {}
        self.confirmed_at: Callable[[], float] = lambda: mirror.confirmed_at
        self.listeners: list[Callable[[str], None]] = []
        self.counters: Counter[str] = Counter()
        if prefix:
            mirror.changes.subscribe(self._on_change)

    @property
    def is_known(self) -> bool:
        """Whether the evacuated domains have been read since the start."""
        return not self.prefix or self.mirror.has_listed

    def is_evacuated(self, domain: str) -> bool:
        """Return whether a domain is evacuated."""
        return domain in self.closing_at

    def is_closed(self, domain: str) -> bool:
        """Return whether a domain is evacuated and serves no keys any more."""
        closing_at = self.closing_at.get(domain)
        return closing_at is not None and boottime() >= closing_at

    def may_serve(self, domain: str, has_key: bool) -> bool:
        """Return whether an endpoint in this node's ``domain`` may get a request."""
        if not self.is_known:
            return False
        return not (self.is_closed(domain) if has_key else self.is_evacuated(domain))

    def is_returning(self, domain: str, rank: int) -> bool:
        """Return whether an endpoint of a domain that was taken back gets no keys yet.

        ``rank`` is the number of endpoints of its domain that come before it.
        """
        taken_back_at = self.taken_back_at.get(domain, float("-inf"))
        return boottime() < taken_back_at + rank * RETURN_INTERVAL_S

    def _on_change(self, event) -> None:
        if not event.key.startswith(self.prefix):
            return
        domain = event.key.removeprefix(self.prefix)
        is_name = 0 < len(domain) <= MAX_NAME_LENGTH and domain.isprintable()
        if not is_name or "/" in domain:
            self.counters["malformed"] += 1
            log.warning("evacuation_malformed", key=event.key, revision=event.revision)
            return
        is_begun = isinstance(event, Item)
        if is_begun == self.is_evacuated(domain):
            return
        if is_begun:
            self._begin(domain, event.revision)
        else:
            self._end(domain, event.revision)
        for listener in self.listeners:
            listener(domain)

    def _begin(self, domain: str, revision: int) -> None:
        now = boottime()
        confirmed_at = self.confirmed_at()
        latest = confirmed_at + MAX_KEY_SERVING_AGE_S
        self.closing_at[domain] = min(now + KEY_SERVING_S, latest)
        self.taken_back_at.pop(domain, None)
        self.counters["begun"] += 1
        # Infinite at the start, which JSON cannot express.
        age_s = round(now - confirmed_at, 2) if self.mirror.has_listed else None
        log.info("evacuation_begun", domain=domain, revision=revision, age_s=age_s)

    def _end(self, domain: str, revision: int) -> None:
        del self.closing_at[domain]
        self.taken_back_at[domain] = boottime()
        self.counters["ended"] += 1
        log.info("evacuation_ended", domain=domain, revision=revision)
