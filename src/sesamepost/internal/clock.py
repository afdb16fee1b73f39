"""The clock used for leases and deadlines."""

import time


def boottime() -> float:
    """Return the seconds since boot, including time spent suspended.

    ``time.monotonic`` stops while the VM is suspended, so a lease measured with it
    could appear valid after a resume. All processes of a VM share this clock.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
