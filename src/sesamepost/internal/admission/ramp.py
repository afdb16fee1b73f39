"""Limits the capacity of an endpoint that has just started."""

RAMP_DURATION_S = 30.0
RAMP_START_FRACTION = 0.2


class ColdStart:
    """Raises the share of usable slots of a cold endpoint from 20% to 100%.

    The ramp depends only on time. It is not affected by a report that declares the
    endpoint ready too early or cold forever.
    """

    def __init__(self) -> None:
        self.began: float | None = None
        self.was_cold = False

    def observe(self, state: str, now: float) -> None:
        """Record the announced state; a change to ``cold`` starts a ramp."""
        cold = state == "cold"
        if cold and not self.was_cold:
            self.began = now
        self.was_cold = cold

    def fraction(self, now: float) -> float:
        """Return the share of the slots that may be used now."""
        if self.began is None:
            return 1.0
        age_s = max(0.0, now - self.began)
        return min(
            1.0,
            RAMP_START_FRACTION + (1.0 - RAMP_START_FRACTION) * age_s / RAMP_DURATION_S,
        )

    def slots(self, slots: int, now: float) -> int:
        """Return how many of ``slots`` may be used now; at least one unless it is 0."""
        # Without the small addition, rounding of the fraction could lose a slot.
        return max(min(1, slots), int(slots * self.fraction(now) + 1e-9))
