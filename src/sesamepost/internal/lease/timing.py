"""Intervals and time limits of the lease protocol, in seconds of CLOCK_BOOTTIME."""

RENEW_INTERVAL_S = 0.4

# The holder counts its TTL from the time it sends a renewal, the witness from the later
# time of receipt. The difference tolerates clock rates that differ by up to 6%.
HOLDER_TTL_S = 1.5
WITNESS_TTL_S = 1.6

SUSPECT_INTERVAL_S = 0.5
SUSPICION_TTL_S = 2.0
REPLACE_WITNESS_AFTER_S = 2.0


def majority(count: int) -> int:
    """Return the smallest number of nodes that is a majority of ``count``."""
    return count // 2 + 1
