"""The load that an endpoint states with its responses."""

from collections import Counter
from dataclasses import dataclass

import structlog

LOG_INTERVAL_S = 10.0
# Longer values are not converted.
MAX_LENGTH = 40
MAX_COUNT = 100_000
# Requests on the VM take their usual time.
USUAL_PACE = 100

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """The requests that run and wait at an endpoint, its slots and its VM's pace.

    ``pace`` is how long work takes on the VM at that moment, 1 for as long as usual.
    """

    running: int
    waiting: int
    slots: int
    pace: float


def decode_server_load(text: str) -> ServerLoad | None:
    """Return the load in a header such as ``3,0,8,100``, or None if it is invalid."""
    if len(text) > MAX_LENGTH:
        return None
    figures = [figure.strip() for figure in text.split(",")]
    if len(figures) != 4 or not all(f.isascii() and f.isdigit() for f in figures):
        return None
    numbers = [int(figure) for figure in figures]
    if max(numbers) > MAX_COUNT:
        return None
    running, waiting, slots, pace = numbers
    return ServerLoad(running, waiting, slots, pace / USUAL_PACE)


class ServerLoadReader:
    """Decodes the headers of one endpoint; invalid ones cost a log line at times."""

    def __init__(self) -> None:
        self.logged_at = float("-inf")
        self.counters: Counter[str] = Counter()

    def read(self, text: str, now: float) -> ServerLoad | None:
        """Return the load, or None if the header is absent or invalid."""
        if not text:
            return None
        load = decode_server_load(text)
        if load is None:
            self.counters["invalid"] += 1
            if now - self.logged_at >= LOG_INTERVAL_S:
                self.logged_at = now
                log.warning("server_load_invalid", value=text[:MAX_LENGTH])
            return None
        self.counters["read"] += 1
        return load
