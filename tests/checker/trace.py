"""The log lines of an order, with the process and the virtual time of each."""

import logging
from contextlib import contextmanager

import structlog

from tests.checker.loop import PROCESS

MAX_LINES = 400


@contextmanager
def no_logs():
    """Drop all log lines, as they take a third of the time of an order."""
    before = structlog.get_config()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    try:
        yield
    finally:
        structlog.configure(**before)


class Trace:
    """Log lines as ``(time, process, text)``, in the order in which they came."""

    def __init__(self) -> None:
        self.lines: list[tuple[float, str, str]] = []

    def __call__(self, logger, method: str, event: dict):
        """Keep a line; this is a processor of structlog that prints nothing."""
        process = PROCESS.get()
        if process is not None:
            now = process.loop.now + process.lag_s
            name = event.pop("event")
            text = " ".join(f"{key}={value}" for key, value in event.items())
            self.lines.append((now, process.name, f"{name} {text}"))
        raise structlog.DropEvent

    def of(self, names: set[str]) -> list[str]:
        """Return the last lines of the processes with these names."""
        found = [
            f"{at:9.3f} {name}: {text}"
            for at, name, text in self.lines
            if not names or name in names
        ]
        return found[-MAX_LINES:]


@contextmanager
def traced():
    """Keep all log lines of the product in a ``Trace``."""
    before = structlog.get_config()
    trace = Trace()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.DEBUG),
        processors=[structlog.contextvars.merge_contextvars, trace],
    )
    try:
        yield trace
    finally:
        structlog.configure(**before)
