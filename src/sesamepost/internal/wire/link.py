"""Schedules the bytes that a node writes to all of its streams over one link.

Messages that have left for the kernel cannot be overtaken, so on a narrow link only as
many bytes are released as the link carries in a few milliseconds.
"""

import heapq
import math
from collections import Counter, deque
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field

from sesamepost.internal.wire.frames import FRAGMENT_BYTES, SMALL_MESSAGE_BYTES

Sender = Hashable

# Bulk data in the write buffer of one stream, behind which its small messages wait.
STREAM_BUFFER_BYTES = 256 << 10
# A link is narrow if a full buffer of one stream takes longer than this.
NARROW_BUFFER_TIME_S = 0.01
# The rest of the link carries headers of TCP and IP, and acknowledgements.
PAYLOAD_SHARE = 0.92
FRAGMENT_TIME_S = 0.003
MIN_FRAGMENT_BYTES = 2 << 10
# A timer that fires late by less than this costs no throughput.
BURST_TIME_S = 0.016
# Bulk data of the node itself; answers and requests have a class for each rank.
CONTROL_CLASS = 0
MAX_CLASS = 7
# The rate of small messages is a mean over about this time.
SMALL_RATE_WINDOW_S = 1.0
# Bulk data keeps this share of the link in estimates, whatever small messages use.
MIN_BULK_SHARE = 0.1
RATIO_WEIGHT = 0.02


def class_of_rank(rank: int) -> int:
    """Return the class of requests and answers of a route with this rank."""
    return min(CONTROL_CLASS + 1 + max(0, rank), MAX_CLASS)


@dataclass(slots=True, eq=False)
class BulkMessage:
    """A message in several frames; ``due`` orders the messages of one class."""

    sender: Sender
    link_class: int
    due: float
    sequence: int
    frames: deque[bytes]
    is_started: bool = False

    @property
    def is_unwritten(self) -> bool:
        """Whether the message is queued and no part of it has been written."""
        return bool(self.frames) and not self.is_started

    def __lt__(self, other: "BulkMessage") -> bool:
        return (self.link_class, self.due, self.sequence) < (
            other.link_class,
            other.due,
            other.sequence,
        )


@dataclass(slots=True)
class SenderQueue:
    """What one stream still has to write; ``last_due`` keeps a class in order."""

    messages: int = 0
    queued_bytes: int = 0
    last_due: dict[int, float] = field(default_factory=dict)


class LinkScheduler:
    """Orders bulk messages of all streams, and paces them if the link is narrow.

    Small messages are written at once and only recorded with ``note_written``. They may
    leave a debt that bulk data waits for. A link whose rate is not known (infinite, or
    not above 0) is not paced. All times are in seconds on one clock, and
    ``now`` is passed in.

    Example::

        scheduler.add(stream, class_of_rank(2), frames, now)
        while (entry := scheduler.pop(now, is_writable)) is not None:
            sender, frame = entry
            written = sender.write(frame)
            scheduler.note_written(written, now, frame_bytes=len(frame))
    """

    def __init__(self, bytes_per_s: float = math.inf) -> None:
        if not bytes_per_s > 0:
            # Settings without a usable rate must not keep a node from its work.
            bytes_per_s = math.inf
        self.is_paced = STREAM_BUFFER_BYTES / bytes_per_s > NARROW_BUFFER_TIME_S
        self.bytes_per_s = math.inf
        self.burst_bytes = 0.0
        self.fragment_bytes = FRAGMENT_BYTES
        if self.is_paced:
            self.bytes_per_s = bytes_per_s * PAYLOAD_SHARE
            self.burst_bytes = self.bytes_per_s * BURST_TIME_S
            self.fragment_bytes = min(
                FRAGMENT_BYTES,
                max(MIN_FRAGMENT_BYTES, int(bytes_per_s * FRAGMENT_TIME_S)),
            )
        self.tokens = self.burst_bytes
        self.refilled_at = -math.inf
        self.small_bytes = 0.0
        self.small_noted_at = -math.inf
        # Bytes written for each byte of bulk data, since streams may be compressed.
        self.written_ratio = 1.0
        self.ready: list[BulkMessage] = []
        # Messages of streams whose peers have not read enough.
        self.blocked: dict[Sender, list[BulkMessage]] = {}
        self.queues: dict[Sender, SenderQueue] = {}
        self.queued_bytes: Counter[int] = Counter()
        self.sequence = 0

    @property
    def stream_buffer_bytes(self) -> int:
        """How much bulk data may lie in the write buffer of one stream."""
        if not self.is_paced:
            return STREAM_BUFFER_BYTES
        return int(self.burst_bytes) + self.fragment_bytes

    @property
    def small_message_bytes(self) -> int:
        """The largest message that overtakes bulk data, since it is written at once."""
        return max(self.fragment_bytes, SMALL_MESSAGE_BYTES)

    @property
    def total_bytes(self) -> int:
        """The bulk bytes that wait in all streams."""
        return self.queued_bytes.total()

    def queued_of(self, sender: Sender) -> int:
        """Return the bulk bytes that wait in one stream."""
        queue = self.queues.get(sender)
        return queue.queued_bytes if queue else 0

    def has_bulk(self) -> bool:
        """Return whether bulk data waits in any stream."""
        return bool(self.queues)

    def add(
        self, sender: Sender, link_class: int, frames: list[bytes], now: float
    ) -> BulkMessage:
        """Queue the frames of one message behind those of the same stream and class."""
        size = sum(map(len, frames))
        if not self.queues:
            # Only what a late timer has left unused may be caught up with in a burst.
            self._refill(now)
            self.tokens = min(self.tokens, 0.0)
        queue = self.queues.setdefault(sender, SenderQueue())
        # The message that an idle link would finish first goes first.
        due = max(now + size / self.bytes_per_s, queue.last_due.get(link_class, 0.0))
        queue.last_due[link_class] = due
        queue.messages += 1
        queue.queued_bytes += size
        self.queued_bytes[link_class] += size
        self.sequence += 1
        message = BulkMessage(sender, link_class, due, self.sequence, deque(frames))
        if sender in self.blocked:
            self.blocked[sender].append(message)
        else:
            heapq.heappush(self.ready, message)
        return message

    def cancel(self, message: BulkMessage) -> bool:
        """Discard a message; return False if a part of it has been written.

        The receiver would wait for the rest of a message that was cut off.
        """
        if not message.is_unwritten:
            return False
        if message in self.ready:
            self.ready.remove(message)
            heapq.heapify(self.ready)
        else:
            waiting = self.blocked[message.sender]
            waiting.remove(message)
            if not waiting:
                # Its next message would otherwise wait for a timer that nobody has set.
                del self.blocked[message.sender]
        self._remove(message, sum(map(len, message.frames)), is_last=True)
        message.frames.clear()
        return True

    def pop(
        self, now: float, is_writable: Callable[[Sender], bool]
    ) -> tuple[Sender, bytes] | None:
        """Remove and return the next frame, or None if none may be written now."""
        self._refill(now)
        if self.is_paced and self.tokens < 0:
            return None
        while self.ready:
            message = self.ready[0]
            sender = message.sender
            if sender not in self.queues:
                heapq.heappop(self.ready)
                continue
            if sender in self.blocked or not is_writable(sender):
                heapq.heappop(self.ready)
                self.blocked.setdefault(sender, []).append(message)
                continue
            return sender, self._pop_frame(message)
        return None

    def unblock(self, is_writable: Callable[[Sender], bool]) -> None:
        """Let streams whose peers have read enough write bulk data again."""
        for sender in [s for s in self.blocked if is_writable(s)]:
            for message in self.blocked.pop(sender):
                heapq.heappush(self.ready, message)

    def drop(self, sender: Sender) -> None:
        """Discard what a closed stream still had to write."""
        if self.queues.pop(sender, None) is None:
            return
        for message in self._messages():
            if message.sender is sender:
                message.frames.clear()
        self.blocked.pop(sender, None)
        self.ready = [m for m in self.ready if m.sender in self.queues]
        heapq.heapify(self.ready)
        self.queued_bytes.clear()
        for message in self._messages():
            self.queued_bytes[message.link_class] += sum(map(len, message.frames))

    def note_written(self, size: int, now: float, frame_bytes: int = 0) -> None:
        """Record written bytes; ``frame_bytes`` is the size of a frame of bulk data."""
        if not self.is_paced:
            return
        self._refill(now)
        self.tokens -= size
        if frame_bytes:
            self.written_ratio += RATIO_WEIGHT * (
                size / frame_bytes - self.written_ratio
            )
            return
        self.small_bytes = self._small_bytes_at(now) + size
        self.small_noted_at = now

    def delay_s(self, now: float) -> float:
        """Return the time until the link has room for the next frame."""
        if not self.is_paced:
            return 0.0
        self._refill(now)
        return max(0.0, -self.tokens) / self.bytes_per_s

    def time_to_pass(self, size: float, link_class: int, now: float) -> float:
        """Return the time until ``size`` further bytes of this class have passed.

        Bytes of less urgent classes do not count, since they would be overtaken.
        """
        if not self.is_paced:
            return 0.0
        self._refill(now)
        queued = sum(count for c, count in self.queued_bytes.items() if c <= link_class)
        debt = max(0.0, -self.tokens)
        bulk_share = 1 - self._small_bytes_at(now) / SMALL_RATE_WINDOW_S / (
            self.bytes_per_s
        )
        rate = self.bytes_per_s * max(MIN_BULK_SHARE, bulk_share)
        return ((queued + size) * self.written_ratio + debt) / rate

    def time_alone(self, size: float) -> float:
        """Return the time that ``size`` bytes of bulk data take on an idle link."""
        return size * self.written_ratio / self.bytes_per_s

    def _pop_frame(self, message: BulkMessage) -> bytes:
        frame = message.frames.popleft()
        message.is_started = True
        if not message.frames:
            heapq.heappop(self.ready)
        self._remove(message, len(frame), is_last=not message.frames)
        return frame

    def _remove(self, message: BulkMessage, size: int, is_last: bool) -> None:
        queue = self.queues[message.sender]
        queue.queued_bytes -= size
        self.queued_bytes[message.link_class] -= size
        if is_last:
            queue.messages -= 1
            if not queue.messages:
                del self.queues[message.sender]

    def _messages(self) -> list[BulkMessage]:
        waiting = [m for messages in self.blocked.values() for m in messages]
        return [*self.ready, *waiting]

    def _refill(self, now: float) -> None:
        if not self.is_paced or now <= self.refilled_at:
            return
        self.tokens = min(
            self.burst_bytes,
            self.tokens + (now - self.refilled_at) * self.bytes_per_s,
        )
        self.refilled_at = now

    def _small_bytes_at(self, now: float) -> float:
        age_s = max(0.0, now - self.small_noted_at)
        return self.small_bytes * math.exp(-age_s / SMALL_RATE_WINDOW_S)
