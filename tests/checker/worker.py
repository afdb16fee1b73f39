"""One life of a worker that holds keys, without any I/O.

It follows the page of the platform: "Workers", "Keys that workers hold" and "Service
discovery"; and for keys given with heartbeats the section of that name in
``docs/platform.md``.
"""

import math
from collections.abc import Callable

from sesamepost.internal.ranges.table import LAST_KEY, uncovered
from tests.checker.worker_events import (
    Event,
    GrantRefused,
    GrantTaken,
    HandoverReady,
    HoldEnded,
    KeysReleased,
    LifeEnded,
    RequestBegun,
    RequestEnded,
)
from tests.checker.worker_state import HeldKeys, Release, Running

# A worker ignores the answer to a heartbeat that arrives later or is larger.
ANSWER_TIMEOUT_S = 1.0
# The clock that measures holds may run this share slow.
MAX_CLOCK_LAG = 0.02


class Worker:
    """One life of a worker.

    ``now`` returns the present time in seconds. ``clock_lag`` is the share by which the
    clock that measures holds runs slow. ``by_heartbeat`` says that the worker takes
    keys only with the answers to its heartbeats. ``slots`` is the number of requests
    that it runs at the same time.

    Every call first ends the holds and the work whose time has run out, so events may
    be reported later than they happened; ``at`` is when they happened.

    >>> worker = Worker("i-1", 1, "keyed", lambda: 0.0, lambda event: None)
    >>> worker.grant(0, 9, 3, 4.0), worker.grant(5, 6, 2, 4.0), worker.holds(7)
    (200, 409, True)
    """

    def __init__(
        self,
        worker_id: str,
        born: int,
        service: str,
        now: Callable[[], float],
        observer: Callable[[Event], None],
        *,
        address: str = "127.0.0.1:8080",
        clock_lag: float = 0.0,
        by_heartbeat: bool = False,
        slots: int = 4,
        max_hold_s: float = math.inf,
    ) -> None:
        if not 0.0 <= clock_lag <= MAX_CLOCK_LAG:
            raise ValueError(f"clock_lag is {clock_lag}, above {MAX_CLOCK_LAG}")
        self.id = worker_id
        self.born = born
        self.service = service
        self.now = now
        self.observer = observer
        self.address = address
        self.clock_lag = clock_lag
        self.by_heartbeat = by_heartbeat
        self.slots = slots
        self.max_hold_s = max_hold_s
        self.life = (worker_id, born)
        self.state = "ready"
        self.sequence = 0
        self.has_ended = False
        self.keys = HeldKeys()
        self.running: dict[str, Running] = {}
        self.releases: list[Release] = []
        # Releases whose tokens the next heartbeat reports, and those in the last one.
        self.reported: list[Release] = []
        self.in_heartbeat: list[Release] = []

    def grant(
        self,
        first: int,
        last: int,
        fence: int,
        hold_s: float,
        handover: str = "",
        arrived_at: float | None = None,
    ) -> int:
        """Carry out a grant; return the status of the answer.

        The hold counts from ``arrived_at``, by default from now.
        """
        self.expire()
        if self.has_ended:
            return 0
        if self.by_heartbeat or not self._is_valid(first, last, fence, hold_s):
            return 400
        since = self.now() if arrived_at is None else arrived_at
        return 200 if self._take(first, last, fence, hold_s, handover, since) else 409

    def release(self, first: int, last: int, fence: int) -> Release:
        """Stop new work on keys; the token is ready once no request runs on them.

        A release is never refused, so its fence is not compared.
        """
        self.expire()
        self.keys.drop(first, last)
        self._report(KeysReleased(self.life, self.now(), first, last))
        release = Release(first, last, fence)
        self.releases.append(release)
        self._finish_releases()
        return release

    def begin(
        self, request_id: str, key: int | None, expected_id: str | None = None
    ) -> int:
        """Begin to work on a request and return 200, or return why it did not run."""
        self.expire()
        if self.has_ended:
            return 0
        if not request_id:
            return 400
        if expected_id is not None and expected_id != self.id:
            return 421
        until = 0.0 if key is None else self.keys.until(key)
        if not until:
            return 421
        if len(self.running) >= self.slots:
            return 503
        self.running[request_id] = Running(request_id, key, until)
        self._report(RequestBegun(self.life, self.now(), request_id, key))
        return 200

    def end(self, request_id: str) -> int:
        """End the work on a request; return the status of its answer."""
        self.expire()
        request = self.running.get(request_id)
        if request is None:
            # It outlasted its hold, or the process has ended.
            return 500
        self._end_request(request, self.now(), 200)
        return 200

    def holds(self, key: int) -> bool:
        """Return whether the worker holds a key now."""
        self.expire()
        return self.keys.until(key) > 0.0

    def end_life(self) -> None:
        """End the process, and with it all holds and requests."""
        if self.has_ended:
            return
        self.expire()
        self.has_ended = True
        self.keys = HeldKeys()
        self.running = {}
        self.releases = []
        self._report(LifeEnded(self.life, self.now()))

    def heartbeat(self) -> dict:
        """Return the body of the next heartbeat."""
        self.expire()
        self.sequence += 1
        body = {
            "address": self.address,
            "born": self.born,
            "serviceInfo": {
                "service": self.service,
                "version": "v1",
                "zone": "a",
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "coldRemainingS": 0,
            },
        }
        if self.by_heartbeat:
            at_work = [[r.first, r.last, r.fence] for r in self.releases]
            body["holds"] = [
                [h.first, h.last, h.fence] for h in self.keys.holds
            ] + at_work
            body["released"] = [[r.first, r.last, r.handover] for r in self.reported]
            self.in_heartbeat = list(self.reported)
        return body

    def take_answer(self, answer: dict, sent_at: float) -> bool:
        """Process the answer to a heartbeat that was sent at ``sent_at``.

        Return whether the next heartbeat is due at once, as keys are to be released.
        """
        self.expire()
        is_late = self.now() - sent_at > ANSWER_TIMEOUT_S
        if self.has_ended or is_late or not self.by_heartbeat:
            return False
        self.reported = [r for r in self.reported if r not in self.in_heartbeat]
        if "holds" not in answer:
            return False
        ordered = [(row[0], row[1]) for row in answer["holds"]]
        for hold in list(self.keys.holds):
            for begin, end in uncovered(hold.first, hold.last, ordered):
                self.release(begin, end, hold.fence)
        for first, last, fence, handover in answer["holds"]:
            self._take(first, last, fence, answer["holdS"], handover, sent_at)
        return bool(self.reported or self.releases)

    def expire(self) -> None:
        """End the holds and the work whose time has run out."""
        now = self.now()
        overdue = [r for r in self.running.values() if r.until <= now]
        for request in overdue:
            self._end_request(request, request.until, 500)
        for hold in self.keys.take_ended(now):
            self._report(
                HoldEnded(self.life, hold.until, hold.first, hold.last, hold.fence)
            )

    def next_expiry(self) -> float:
        """Return when the next hold or work runs out; infinite if none does."""
        ends = [h.until for h in self.keys.holds] + [
            r.until for r in self.running.values()
        ]
        return min(ends, default=math.inf)

    def _take(
        self,
        first: int,
        last: int,
        fence: int,
        hold_s: float,
        handover: str,
        since: float,
    ) -> bool:
        if not self.keys.accept(first, last, fence):
            self._report(GrantRefused(self.life, self.now(), first, last, fence))
            return False
        until = since + hold_s / (1.0 - self.clock_lag)
        if self.by_heartbeat:
            # An order says what is held from now on.
            self.keys.drop(first, last)
        if until <= self.now():
            return True
        self.keys.add(first, last, fence, until)
        for request in self.running.values():
            if first <= request.key <= last:
                request.until = max(request.until, until)
        self._report(
            GrantTaken(
                self.life, self.now(), first, last, fence, until, handover, since
            )
        )
        return True

    def _end_request(self, request: Running, at: float, status: int) -> None:
        del self.running[request.request_id]
        self._report(
            RequestEnded(self.life, at, request.request_id, request.key, status)
        )
        self._finish_releases()

    def _finish_releases(self) -> None:
        """Make the tokens of releases on whose keys no request runs any longer."""
        for release in list(self.releases):
            if self._is_at_work(release.first, release.last):
                continue
            self.releases.remove(release)
            release.handover = f"token-{self.id}-{release.first}"
            if self.by_heartbeat:
                self.reported.append(release)
            self._report(
                HandoverReady(
                    self.life,
                    self.now(),
                    release.first,
                    release.last,
                    release.handover,
                )
            )
            release.on_ready(release.handover)

    def _is_valid(self, first: int, last: int, fence: int, hold_s: float) -> bool:
        numbers = (first, last, fence)
        if not all(type(number) is int for number in numbers):
            return False
        if type(hold_s) not in (int, float) or not 0 < hold_s <= self.max_hold_s:
            return False
        return 0 <= first <= last <= LAST_KEY and fence >= 0

    def _is_at_work(self, first: int, last: int) -> bool:
        return any(first <= r.key <= last for r in self.running.values())

    def _report(self, event: Event) -> None:
        self.observer(event)
