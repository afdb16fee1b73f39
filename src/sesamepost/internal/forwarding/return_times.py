"""Chooses when refused callers return, so that they do not return all at once."""

import random
from collections import OrderedDict
from dataclasses import dataclass

from sesamepost.internal.decay import DecayingSum

# The pace of answers is measured over about this time.
PACE_WINDOW_S = 2.0
# Pace that is assumed until answers were seen.
MIN_ANSWERS_PER_S = 5.0
MIN_RETURN_S = 0.05
# Bounds the memory; each owner of keys is a target of its own.
MAX_TARGETS = 2048
# Spreads callers for whom there is no time before they give up.
LATE_SPREAD = 0.3


@dataclass(slots=True)
class Pace:
    """The recent answers of one target, and the last time given to a caller."""

    answers: DecayingSum
    last_return_at: float = 0.0

    def interval_s(self, now: float) -> float:
        """Return the mean time between two answers."""
        answers_per_s = self.answers.at(now) / PACE_WINDOW_S
        return 1.0 / max(MIN_ANSWERS_PER_S, answers_per_s)


class ReturnTimes:
    """Gives refused callers times to return, spaced by the pace of answers.

    A target is whatever callers wait for: a service, or the owner of a key. For
    example, if a service answers 20 requests a second, callers that are refused
    together are told to return 50 ms apart.
    """

    def __init__(self) -> None:
        self.paces: OrderedDict[str, Pace] = OrderedDict()

    def note_answer(self, target: str, now: float) -> None:
        """Count an answer of ``target``."""
        self._pace(target).answers.add(now)

    def next_wait_s(
        self, target: str, min_wait_s: float, max_wait_s: float, now: float
    ) -> float:
        """Return after how many seconds a refused caller should return.

        It is at least ``min_wait_s``. If all times up to ``max_wait_s`` have been given
        to others, it is a random one of them, or a later one if there is none.
        """
        pace = self._pace(target)
        min_wait_s = max(MIN_RETURN_S, min_wait_s)
        next_free_s = pace.last_return_at + pace.interval_s(now) - now
        wait_s = max(min_wait_s, next_free_s)
        if wait_s <= max_wait_s:
            pace.last_return_at = now + wait_s
            return wait_s
        latest_s = max(max_wait_s, (1 + LATE_SPREAD) * min_wait_s)
        return random.uniform(min_wait_s, latest_s)

    def _pace(self, target: str) -> Pace:
        pace = self.paces.get(target)
        if pace is None:
            pace = self.paces[target] = Pace(DecayingSum(PACE_WINDOW_S))
            if len(self.paces) > MAX_TARGETS:
                self.paces.popitem(last=False)
        else:
            self.paces.move_to_end(target)
        return pace
