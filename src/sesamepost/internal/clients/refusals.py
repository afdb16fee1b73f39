"""Counts and logs what was refused to clients."""

from collections import Counter
from enum import StrEnum

import structlog

from sesamepost.internal.clock import boottime

LOG_INTERVAL_S = 1.0
# Clients whose last log line is remembered.
MAX_CLIENTS = 1000

log = structlog.get_logger()


class RefusalCause(StrEnum):
    """The limit for which a client was refused or lost its connection."""

    HEAD_TOO_LARGE = "head_too_large"
    HEAD_TIMEOUT = "head_timeout"
    BODY_TIMEOUT = "body_timeout"
    ANSWER_UNREAD = "answer_unread"
    IDLE_TIMEOUT = "idle_timeout"
    NO_MEMORY = "no_memory"
    NO_CONNECTION = "no_connection"
    MALFORMED = "malformed"


class Refusals:
    """Counts refusals by cause, with at most one log line per client and second."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        # The time of the last line, and the refusals since then that have none.
        self.last_line: dict[str, float] = {}
        self.unlogged: Counter[str] = Counter()

    def note(self, cause: RefusalCause, client: str, detail: str = "") -> None:
        """Count a refusal, and log it unless the client had a line just now."""
        self.counters[cause] += 1
        if cause is RefusalCause.IDLE_TIMEOUT:
            # Ordinary clients leave connections idle.
            return
        now = boottime()
        if now - self.last_line.get(client, float("-inf")) < LOG_INTERVAL_S:
            self.unlogged[client] += 1
            return
        if len(self.last_line) >= MAX_CLIENTS and client not in self.last_line:
            self._forget_oldest()
        self.last_line.pop(client, None)
        self.last_line[client] = now
        log.warning(
            "client_refused",
            client=client,
            cause=cause,
            detail=detail,
            also_refused=self.unlogged.pop(client, 0),
        )

    def _forget_oldest(self) -> None:
        oldest = next(iter(self.last_line))
        del self.last_line[oldest]
        self.unlogged.pop(oldest, None)
