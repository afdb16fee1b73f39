"""How many requests at once an endpoint takes well, and how long they take there.

The node beside an endpoint measures it: ``SpeedEstimate`` follows how fast it is at
present, and ``CapacityEstimate`` finds the number of requests in flight at which it
does nearly the most work. All functions are pure; ``now`` is passed in.
"""

import math
import random
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median

# Bounds the memory; operators may define hundreds of routes.
MAX_KINDS = 1000
INITIAL_TIME_S = 0.1
MIN_TIME_S = 0.001
# Weight of the newest request in the usual time of its kind. A change of speed must not
# become usual before it is noticed.
USUAL_WEIGHT = 0.02
# Weight of the newest request in means that move keys.
MEAN_WEIGHT = 0.08
# The speed is the median over this time. A noisy neighbor of 0.4 s fills less than half
# of it, and a lasting change is the median after about half of it.
SPEED_WINDOW_S = 1.6
# With fewer requests in that time, older ones count as well.
MIN_SAMPLES = 7
MAX_SAMPLES = 128
MAX_SAMPLE_AGE_S = 6.0
# A request in flight is late from this multiple of its expected time on.
LATE_FACTOR = 2.0
# Bounds the processor time of a busy node.
UPDATE_INTERVAL_S = 0.025
# Bounds of the ratio between the present and the usual time of a request.
MIN_SLOWNESS = 0.05
MAX_SLOWNESS = 50.0
# Work done is compared over windows of this time, or of this many mean times if that is
# longer.
TRIAL_WINDOW_S = 0.4
TRIAL_WINDOW_REQUESTS = 3.0
# A comparison has this many windows with the number that is tried, and twice as many
# with the limit.
TRIAL_WINDOWS = 3
# A smaller number is tried in steps of this share.
TRIAL_SHARE = 0.6
# What a smaller and a larger number must gain. Times vary, so less says nothing.
SMALLER_GAIN = 1.1
LARGER_GAIN = 1.05
# Pauses before comparisons; they get longer while nothing is gained, and vary so that
# the endpoints of a service do not try a smaller number at the same time.
MIN_PAUSE_S = 4.0
MAX_PAUSE_S = 32.0
# After a refusal or a hang, the number in flight rises by one at this interval.
RAISE_INTERVAL_S = 1.0
# A number at which requests were answered this recently is not too many.
PROOF_S = 3.0


@dataclass(frozen=True, slots=True)
class Sample:
    """A finished request.

    Its time over the usual time of its kind is the product of ``pace``, which the load
    of the VM explains, and ``slowness``.
    """

    at: float
    kind: str
    slowness: float
    pace: float


class SpeedEstimate:
    """The usual time of each kind of request, and the present slowness of all kinds.

    The usual times absorb a changed mix of kinds, the slowness a change of speed.
    """

    def __init__(self) -> None:
        self.usual_s: dict[str, float] = {}
        # How many requests the usual times are based on, up to ``1 / USUAL_WEIGHT``.
        self.counted: Counter[str] = Counter()
        self.slowness = 1.0
        # A slow mean, for decisions that cost more than a changed choice.
        self.mean_slowness = 1.0
        # The part of the slowness that the VM's stated pace explains.
        self.pace = 1.0
        self.samples: deque[Sample] = deque(maxlen=MAX_SAMPLES)
        self.updated_at = float("-inf")

    def expected_time(self, kind: str) -> float | None:
        """Return the expected time of a request, or None for an unknown kind."""
        usual_s = self.usual_s.get(kind)
        return None if usual_s is None else usual_s * self.slowness

    def mean_time(self, kind: str) -> float | None:
        """Return the mean time over some seconds, or None for an unknown kind."""
        usual_s = self.usual_s.get(kind)
        return None if usual_s is None else usual_s * self.mean_slowness

    def slowness_of(self, kind: str, time_s: float) -> float:
        """Return how slow a request of this time was, 1 for the usual time."""
        usual_s = self.usual_s.get(kind)
        if usual_s is None:
            return self.slowness
        return _bounded(time_s / max(usual_s, MIN_TIME_S))

    def note_time(
        self, kind: str, time_s: float, stated_pace: float, now: float
    ) -> None:
        """Record the time of a finished request.

        The stated pace of the VM explains at most the slowness of the request, so a
        wrong one has no effect by itself.
        """
        slowness = self.slowness_of(kind, time_s)
        pace = min(max(1.0, stated_pace), max(1.0, slowness / self.slowness))
        self.mean_slowness += MEAN_WEIGHT * (slowness - self.mean_slowness)
        adjusted_s = max(MIN_TIME_S, time_s / self.slowness)
        if kind not in self.usual_s and len(self.usual_s) >= MAX_KINDS:
            self.usual_s.clear()
            self.counted.clear()
        self.counted[kind] += 1
        # The first requests count alike, as any one of them may be unusual.
        weight = max(USUAL_WEIGHT, 1 / self.counted[kind])
        usual_s = self.usual_s.get(kind, adjusted_s)
        self.usual_s[kind] = usual_s + weight * (adjusted_s - usual_s)
        self.samples.append(Sample(now, kind, slowness / pace, pace))

    def note_unfinished(self, kind: str, age_s: float, now: float) -> None:
        """Record a request that was given up; it counts if it was slower than others.

        Otherwise an endpoint at which all requests are given up would look fast.
        """
        slowness = self.slowness_of(kind, age_s)
        if slowness > self.slowness:
            self.samples.append(Sample(now, kind, slowness, 1.0))

    def update(self, in_flight: Iterable[tuple[str, float]], now: float) -> None:
        """Follow the present speed; ``in_flight`` are kinds and ages.

        A late request in flight counts as well, so that a sudden change shows before
        slow requests have finished.
        """
        if now - self.updated_at < UPDATE_INTERVAL_S:
            return
        self.updated_at = now
        while self.samples and now - self.samples[0].at > MAX_SAMPLE_AGE_S:
            self.samples.popleft()
        recent = [s for s in self.samples if now - s.at <= SPEED_WINDOW_S]
        if len(recent) < MIN_SAMPLES:
            recent = list(self.samples)[-MIN_SAMPLES:]
        values = [sample.slowness * sample.pace for sample in recent]
        late = []
        for kind, age_s in in_flight:
            slowness = self.slowness_of(kind, age_s)
            if kind in self.usual_s and slowness > LATE_FACTOR * self.slowness:
                late.append(slowness)
        if len(values) + len(late) < MIN_SAMPLES // 2:
            return
        if late or not recent:
            self.slowness = median(values + late)
            return
        # A pace that did not last for half of the time is left out.
        steady = median(sample.slowness for sample in recent)
        self.pace = median(sample.pace for sample in recent)
        self.slowness = steady * self.pace


class CapacityEstimate:
    """The number of requests in flight that an endpoint takes well.

    ``slots`` is what the endpoint states; the limit is never above it. While requests
    wait all the time, other numbers are tried for short times, and the limit becomes
    the one with which the endpoint does more work. Numbers that occur by themselves
    prove nothing: an endpoint that is slow for another reason has more in flight.
    """

    def __init__(self) -> None:
        self.slots = 0
        self.limit = 0
        self.best = 0
        # Why the limit was last changed.
        self.reason = "slots"
        self.counters: Counter[str] = Counter()
        self.ceiling = math.inf
        self.raised_at = 0.0
        # When a request that was started as the n-th in flight was last answered.
        self.answered_at: dict[int, float] = {}
        self.trial: int | None = None
        self.is_trying = False
        self.tries_larger = False
        self.work_rates: list[float] = []
        self.trial_rates: list[float] = []
        self.window_at = 0.0
        self.window_work = 0.0
        self.was_full = False
        self.pause_s = MIN_PAUSE_S
        self.next_trial_at = 0.0

    def set_slots(self, slots: int) -> None:
        """Set the number of slots that the endpoint states."""
        if slots != self.slots:
            self.slots = slots
            self.forget()

    def forget(self) -> None:
        """Start anew, for another incarnation of the endpoint."""
        self.best = self.slots
        self.ceiling = math.inf
        self.answered_at.clear()
        self.pause_s = MIN_PAUSE_S
        self.reason = "slots"
        self._end_trial()

    @property
    def settled_limit(self) -> int:
        """The limit apart from a number that is being tried."""
        return int(min(self.best, max(1, self.ceiling), self.slots))

    def note_rejected(self, in_flight: int, now: float) -> None:
        """Record that the endpoint refused a request or did not answer it in time.

        ``in_flight`` includes that request. An endpoint that has just answered requests
        beside as many others did so for another reason.
        """
        if in_flight > self._proven(now):
            self._lower(max(in_flight - 1, self.settled_limit // 2), "refused", now)

    def note_answered(self, in_flight: int, now: float) -> None:
        """Record an answered request, which was started as the n-th in flight."""
        self.answered_at[in_flight] = now

    def _proven(self, now: float) -> int:
        """Return the highest number in flight at which a request was answered."""
        self.answered_at = {
            n: at for n, at in self.answered_at.items() if now - at <= PROOF_S
        }
        return max(self.answered_at, default=0)

    def note_waiting(self, running: int, now: float) -> None:
        """Record that requests wait inside the endpoint while it runs ``running``.

        More in flight have no use. A wrong statement costs at most half of the slots.
        """
        self._lower(max(running, math.ceil(self.slots / 2)), "waiting", now)

    def update(self, is_full: bool, work_s: float, mean_s: float, now: float) -> None:
        """Follow the work that the endpoint has done.

        ``is_full`` says that requests wait, ``work_s`` is the sum of the usual times of
        all finished requests, and ``mean_s`` the present mean time of a request.
        """
        if self.ceiling < self.slots and now - self.raised_at >= RAISE_INTERVAL_S:
            self.ceiling += 1
            self.raised_at = now
            self.reason = "raised"
        self.was_full &= is_full
        elapsed_s = now - self.window_at
        if elapsed_s >= max(TRIAL_WINDOW_S, TRIAL_WINDOW_REQUESTS * mean_s):
            rate = (work_s - self.window_work) / elapsed_s
            self._end_window(rate, now)
            self.window_at = now
            self.window_work = work_s
            self.was_full = is_full
        self._set_limit()

    def _end_window(self, rate: float, now: float) -> None:
        if not self.was_full:
            self._pause(now)
            return
        if self.trial is None:
            if now >= self.next_trial_at:
                self._start_trial()
            return
        (self.trial_rates if self.is_trying else self.work_rates).append(rate)
        if len(self.trial_rates) == TRIAL_WINDOWS:
            self._decide(now)
            return
        # Two windows with the limit, then one with the other number.
        self.is_trying = len(self.work_rates) >= 2 * (len(self.trial_rates) + 1)

    def _start_trial(self) -> None:
        self.tries_larger = self.best < self.slots and not self.tries_larger
        smaller = min(self.best - 1, math.ceil(TRIAL_SHARE * self.best))
        trial = self.best + 1 if self.tries_larger else smaller
        if trial >= 1:
            self.trial = trial
            self.counters["trials"] += 1

    def _decide(self, now: float) -> None:
        gain = LARGER_GAIN if self.tries_larger else SMALLER_GAIN
        if median(self.trial_rates) > gain * median(self.work_rates):
            self.best = self.trial
            self.reason = "work"
            self.pause_s = MIN_PAUSE_S
        else:
            self.pause_s = min(MAX_PAUSE_S, 2 * self.pause_s)
        self._pause(now)

    def _pause(self, now: float) -> None:
        self.next_trial_at = now + self.pause_s * random.uniform(0.5, 1.5)
        self._end_trial()

    def _end_trial(self) -> None:
        self.trial = None
        self.is_trying = False
        self.work_rates = []
        self.trial_rates = []
        self._set_limit()

    def _lower(self, ceiling: int, reason: str, now: float) -> None:
        lowered = max(1, min(self.ceiling, ceiling))
        if lowered == self.ceiling:
            return
        self.ceiling = lowered
        self.raised_at = now
        self.reason = reason
        self.counters[reason] += 1
        self._set_limit()

    def _set_limit(self) -> None:
        chosen = self.trial if self.is_trying else self.best
        self.limit = int(min(chosen, max(1, self.ceiling), self.slots))


def _bounded(slowness: float) -> float:
    return min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))
