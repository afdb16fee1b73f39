"""The capacity of an endpoint that has just started."""

RAMP_DURATION_S = 30.0
RAMP_START_FRACTION = 0.2


class ColdStart:
    """Raises the share of the slots that a cold endpoint gets, from 20% to 100%.

    The ramp is a matter of time only. A report that calls the endpoint ready too early,
    or cold forever, changes nothing.
    """

    def __init__(self) -> None:
        self.began: float | None = None
        self.was_cold = False

    def observe(self, state: str, now: float) -> None:
        """Take the state of an announcement; a change to ``cold`` begins a ramp."""
        cold = state == "cold"
        if cold and not self.was_cold:
            self.began = now
        self.was_cold = cold

    def fraction(self, now: float) -> float:
        """Return the share of the slots that the endpoint may be given now."""
        if self.began is None:
            return 1.0
        age_s = max(0.0, now - self.began)
        return min(
            1.0,
            RAMP_START_FRACTION + (1.0 - RAMP_START_FRACTION) * age_s / RAMP_DURATION_S,
        )

    def slots(self, slots: int, now: float) -> int:
        """Return the slots in use at this point of the ramp, at least one."""
        # The small addition keeps a slot from being lost to rounding of the fraction.
        return max(min(1, slots), int(slots * self.fraction(now) + 1e-9))
