"""JSON log lines, written without blocking and with a limit on request lines."""

import logging
import os
import sys
import time
from collections.abc import Callable
from typing import Any, TextIO

import structlog

# Shared by all events that are logged for each request.
MAX_REQUEST_LINES_PER_S = 200.0
REQUEST_EVENTS = frozenset({"request", "request_refused"})


class NonBlockingOutput:
    """Writes whole lines to a file descriptor and drops lines that would block.

    A slow reader of the log must not delay requests. ``dropped`` counts the lines lost
    since the last written one; the count is logged before the next line.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.unwritten = b""
        self.dropped = 0

    def write(self, text: str) -> int:
        """Write ``text``, or drop it if the descriptor would block."""
        if self.unwritten and not self._write_remaining():
            self.dropped += 1
            return len(text)
        if self.dropped:
            text = f'{{"event": "log_lines_dropped", "lines": {self.dropped}}}\n{text}'
            self.dropped = 0
        self.unwritten = text.encode("utf-8", "backslashreplace")
        self._write_remaining()
        return len(text)

    def flush(self) -> None:
        """Do nothing, since ``write`` has already written what it could."""

    def _write_remaining(self) -> bool:
        """Write the rest of the last line; return whether it is now complete."""
        try:
            written = os.write(self.descriptor, self.unwritten)
        except BlockingIOError:
            return False
        except OSError:
            # Nobody reads the log any more; the process continues without it.
            written = len(self.unwritten)
        self.unwritten = self.unwritten[written:]
        return not self.unwritten


class RequestLineLimit:
    """A structlog processor that limits the rate of request lines.

    The next line that is written tells how many lines were dropped before it.
    """

    def __init__(
        self,
        lines_per_s: float = MAX_REQUEST_LINES_PER_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.lines_per_s = lines_per_s
        self.clock = clock
        self.tokens = lines_per_s
        self.refilled_at = clock()
        self.left_out = 0

    def __call__(self, logger: Any, method: str, event: dict) -> dict:
        """Return the event, or raise ``DropEvent`` if it exceeds the rate."""
        if event.get("event") not in REQUEST_EVENTS:
            return event
        now = self.clock()
        self.tokens += (now - self.refilled_at) * self.lines_per_s
        self.tokens = min(self.tokens, self.lines_per_s)
        self.refilled_at = now
        if self.tokens < 1:
            self.left_out += 1
            raise structlog.DropEvent
        self.tokens -= 1
        if self.left_out:
            event["left_out_before"] = self.left_out
            self.left_out = 0
        return event


def configure_logs(vm: str, output: TextIO | NonBlockingOutput | None = None) -> None:
    """Configure structlog to write JSON lines with time, level and VM name.

    ``output`` defaults to standard error.
    """
    structlog.configure(
        processors=[
            RequestLineLimit(),
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(output or sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(vm=vm)
