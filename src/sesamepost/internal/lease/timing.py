"""Times of the lease protocol, in seconds on CLOCK_BOOTTIME."""

RENEW_INTERVAL_S = 0.4

# A holder counts from the moment of sending, a witness from the later receipt. The
# difference covers clocks whose rates differ by up to 6%.
HOLDER_TTL_S = 1.5
WITNESS_TTL_S = 1.6

SUSPECT_INTERVAL_S = 0.5
SUSPICION_TTL_S = 2.0
REPLACE_WITNESS_AFTER_S = 2.0


def majority(count: int) -> int:
    """Return how many of ``count`` nodes are a majority."""
    return count // 2 + 1
