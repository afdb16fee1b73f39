"""Asks the local endpoint whether it is cold."""

import asyncio
from collections import Counter
from collections.abc import Callable

import structlog

from sesamepost.errors import RouterError
from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.nodes import EndpointInfo
from sesamepost.internal.forwarding.cold import MAX_COLD_S, ColdLimit
from sesamepost.internal.forwarding.endpoint_connection import EndpointResponse
from sesamepost.internal.forwarding.endpoint_pool import EndpointPool
from sesamepost.internal.forwarding.protocol_names import HeaderNames

CHECK_TIMEOUT_S = 0.5
LOG_INTERVAL_S = 10.0
# Longer values are not converted.
MAX_DIGITS = 9

log = structlog.get_logger()


def decode_cold_ms(text: str) -> float | None:
    """Return the seconds in a header of milliseconds, or None if it is invalid."""
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS):
        return None
    cold_s = int(text) / 1000
    return cold_s if cold_s <= MAX_COLD_S else None


class ColdChecker:
    """Sends health requests that ask whether the endpoint is cold, one at a time.

    ``on_checked`` is called after each of them.
    """

    def __init__(
        self,
        pool: EndpointPool,
        names: HeaderNames,
        limit: ColdLimit,
        on_checked: Callable[[], None],
    ) -> None:
        self.pool = pool
        self.names = names
        self.limit = limit
        self.on_checked = on_checked
        self.task: asyncio.Task | None = None
        self.logged_at = float("-inf")
        self.counters: Counter[str] = Counter()

    def close(self) -> None:
        """Cancel the check under way."""
        if self.task is not None:
            self.task.cancel()

    def start(self, info: EndpointInfo, health_path: str) -> None:
        """Start a check unless one is under way."""
        if self.task is not None and not self.task.done():
            return
        self.limit.checked_at = boottime()
        self.task = asyncio.create_task(self._check(info, health_path))

    def note_answer(
        self, info: EndpointInfo, answer: EndpointResponse, sent_at: float
    ) -> None:
        """Record what a health response says; one that lacks the time is warm."""
        if answer.header(self.names.endpoint_id) != info.id:
            self.counters["checks_without_id"] += 1
            return
        text = answer.header(self.names.cold_ms)
        if not text and answer.status != 200:
            self.counters["checks_failed"] += 1
            return
        cold_s = decode_cold_ms(text or "0")
        if cold_s is None:
            self._note_invalid(info, text)
            return
        now = boottime()
        if cold_s and not self.limit.is_cold(now):
            log.info("endpoint_found_cold", endpoint=info.id, cold_s=cold_s)
        self.limit.note_checked(sent_at, cold_s, now)
        self.counters["checks_cold" if cold_s else "checks_warm"] += 1

    async def _check(self, info: EndpointInfo, health_path: str) -> None:
        sent_at = boottime()
        address = self.pool.address
        headers = [("Host", f"{address.host}:{address.port}")]
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                answer = await self.pool.send("GET", health_path, headers, b"", "")
        except (RouterError, TimeoutError):
            self.counters["checks_failed"] += 1
        else:
            self.note_answer(info, answer, sent_at)
        self.on_checked()

    def _note_invalid(self, info: EndpointInfo, text: str) -> None:
        self.counters["checks_invalid"] += 1
        now = boottime()
        if now - self.logged_at >= LOG_INTERVAL_S:
            self.logged_at = now
            log.warning("cold_time_invalid", endpoint=info.id, value=text[:40])
