"""Log lines as JSON, bounded in volume and never waiting for their reader."""

import logging
import os
import sys
import time
from collections.abc import Callable
from typing import Any, TextIO

import structlog

# Events that come with each request share this many lines a second.
MAX_REQUEST_LINES_PER_S = 200.0
REQUEST_EVENTS = frozenset({"request", "request_refused"})


class NonBlockingOutput:
    """Writes whole lines to a file descriptor and drops those that would block.

    A reader that does not keep up must not delay requests. ``dropped`` counts the lines
    that were lost since the last one that was written; it is told before the next one.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.unwritten = b""
        self.dropped = 0

    def write(self, text: str) -> int:
        """Write ``text`` or drop it."""
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
        """Do nothing: what could be written was written."""

    def _write_remaining(self) -> bool:
        """Return whether all of the last line was written."""
        try:
            written = os.write(self.descriptor, self.unwritten)
        except BlockingIOError:
            return False
        except OSError:
            # Nobody reads any more; the process goes on without its log.
            written = len(self.unwritten)
        self.unwritten = self.unwritten[written:]
        return not self.unwritten


class RequestLineLimit:
    """A processor that keeps the lines of requests within a rate.

    The next line that is written says how many were left out before it.
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
        """Return the event, or raise ``DropEvent``."""
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
    """Write one JSON object a line, with time, level and the VM's name.

    ``output`` is standard error unless another one is given.
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
