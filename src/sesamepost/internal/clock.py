"""The clock that leases and deadlines are counted on."""

import time


def boottime() -> float:
    """Return seconds since boot, including time spent suspended.

    ``time.monotonic`` stops while a machine is suspended, so a lease counted on it
    would seem valid after a resume. All processes of one VM share this clock.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
