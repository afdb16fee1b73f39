"""The lengths of holds, on a clock that may run slow.

All times are in seconds on the clock of ``internal/clock``.
"""

from dataclasses import dataclass

from sesamepost.internal.ranges.table import KeyRange

# A node may grant holds until this long after it sent the renewal of its lease.
HOLD_S = 5.0
# The clock of an endpoint may run two percent slow; one more percent is a reserve.
CLOCK_DRIFT_FACTOR = 1.03
MARGIN_S = 0.1
MIN_HOLD_S = 0.3
# The longest time that an endpoint may hold a range after the last grant.
LONGEST_HOLD_S = HOLD_S * CLOCK_DRIFT_FACTOR + MARGIN_S


def hold_s_until(end: float, now: float) -> float:
    """Return the length in seconds of a hold that has certainly ended at ``end``.

    It begins at ``now``, and its endpoint measures it with a clock that may run slow.
    """
    return (end - now - MARGIN_S) / CLOCK_DRIFT_FACTOR


def hold_end(hold_s: float, now: float) -> float:
    """Return the time at which a hold that begins at ``now`` has certainly ended."""
    return now + hold_s * CLOCK_DRIFT_FACTOR + MARGIN_S


@dataclass(frozen=True, slots=True)
class GrantCommand:
    """A command to hold ``key_range`` until ``end`` at the latest.

    Its length is computed when it is sent. A length from an earlier time would be too
    long by all that passes until then, such as a stop of the process.
    """

    key_range: KeyRange
    end: float

    def hold_s_at(self, now: float) -> float:
        """Return the length in seconds of the hold if it begins at ``now``."""
        return hold_s_until(self.end, now)

    def certain_end(self, now: float) -> float:
        """Return until when the endpoint certainly holds the range.

        The grant is sent at ``now`` or later; the later it is, the later its hold ends.
        """
        return now + self.hold_s_at(now) - MARGIN_S
