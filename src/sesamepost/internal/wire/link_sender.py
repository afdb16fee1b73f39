"""Writes the bulk data of all streams of a node in the order of its link."""

import asyncio
import math
from typing import Protocol

from sesamepost.internal.wire.link import (
    CONTROL_CLASS,
    BulkMessage,
    LinkScheduler,
)

BULK_INTERVAL_S = 0.002
# The resolution of the timers.
MIN_PACING_INTERVAL_S = 0.001
# Three messages of the largest size. Above this, a stream is not writable and callers
# refuse or drop further messages instead of queueing them.
STREAM_HIGH_WATER_BYTES = 27 << 20


class BulkStream(Protocol):
    """A stream that bulk data is written to."""

    writable: asyncio.Event

    def write_frame(self, frame: bytes) -> int:
        """Write a frame and return the number of bytes that were written."""

    def write_buffer_bytes(self) -> int:
        """Return how much written data the kernel has not taken yet."""


class LinkSender:
    """Writes bulk data while the link has room for it.

    Streams are not ``writable`` while they hold too much, or while all streams together
    hold more than ``memory_bytes``.
    """

    def __init__(
        self, bytes_per_s: float = math.inf, memory_bytes: float = math.inf
    ) -> None:
        self.scheduler = LinkScheduler(bytes_per_s)
        self.memory_bytes = memory_bytes
        self.timer: asyncio.TimerHandle | None = None
        self.unwritable: set[BulkStream] = set()

    @property
    def is_paced(self) -> bool:
        """Whether the link is narrow, so that its bulk data is paced."""
        return self.scheduler.is_paced

    @property
    def fragment_bytes(self) -> int:
        """The size of the fragments; messages up to this size are written at once."""
        return self.scheduler.fragment_bytes

    def add(
        self, stream: BulkStream, frames: list[bytes], link_class: int = CONTROL_CLASS
    ) -> BulkMessage:
        """Queue a large message of a stream."""
        scheduler = self.scheduler
        message = scheduler.add(stream, link_class, frames, _now())
        is_full = scheduler.queued_of(stream) > STREAM_HIGH_WATER_BYTES
        if is_full or scheduler.total_bytes > self.memory_bytes:
            stream.writable.clear()
            self.unwritable.add(stream)
        return message

    def note_small(self, size: int) -> None:
        """Record bytes of a small message, which are written at once."""
        self.scheduler.note_written(size, _now())

    def flush(self) -> None:
        """Write new bulk data, unless the link is busy."""
        if self.scheduler.ready and (self.timer is None or not self.is_paced):
            self._write_ready()

    def cancel(self, message: BulkMessage) -> bool:
        """Discard a message; return False if a part of it has been written."""
        is_cancelled = self.scheduler.cancel(message)
        self._update_writable()
        return is_cancelled

    def drop(self, stream: BulkStream) -> None:
        """Forget a closed stream."""
        self.scheduler.drop(stream)
        self.unwritable.discard(stream)

    def _on_timer(self) -> None:
        self.timer = None
        self.scheduler.unblock(self._is_writable)
        self._write_ready()

    def _write_ready(self) -> None:
        scheduler = self.scheduler
        now = _now()
        while (entry := scheduler.pop(now, self._is_writable)) is not None:
            stream, frame = entry
            written = stream.write_frame(frame)
            scheduler.note_written(written, now, len(frame))
        self._update_writable()
        if scheduler.has_bulk() and self.timer is None:
            delay_s = BULK_INTERVAL_S
            if scheduler.ready:
                # The link is busy; otherwise all peers must read first.
                delay_s = max(MIN_PACING_INTERVAL_S, scheduler.delay_s(now))
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(delay_s, self._on_timer)

    def _is_writable(self, stream: BulkStream) -> bool:
        return stream.write_buffer_bytes() < self.scheduler.stream_buffer_bytes

    def _update_writable(self) -> None:
        if self.scheduler.total_bytes > self.memory_bytes / 2:
            return
        for stream in list(self.unwritable):
            if self.scheduler.queued_of(stream) <= STREAM_HIGH_WATER_BYTES // 2:
                self.unwritable.discard(stream)
                stream.writable.set()


def _now() -> float:
    return asyncio.get_running_loop().time()
