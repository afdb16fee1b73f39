"""Bounds the memory that unfinished answers of endpoints use together."""

from typing import Protocol

DEFAULT_LIMIT_BYTES = 48 << 20
# An answer up to this size never waits, so that large answers do not delay small ones.
FREE_ANSWER_BYTES = 64 << 10


class UnfinishedAnswer(Protocol):
    """An answer whose bytes can be left unread for a while."""

    def hold_back(self) -> None:
        """Read no more bytes until ``read_on`` is called."""

    def read_on(self) -> None:
        """Read further bytes."""


class AnswerBudget:
    """Bounds the bytes of all unfinished answers by leaving some of them unread.

    Answers that do not fit wait until others have ended. The answer that has waited
    longest is always read on, up to the size limit for one answer: otherwise all could
    wait for each other.
    """

    __slots__ = ("held_back", "limit_bytes", "sizes", "used_bytes")

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        # In the order in which the answers exceeded ``FREE_ANSWER_BYTES``.
        self.sizes: dict[UnfinishedAnswer, int] = {}
        self.held_back: set[UnfinishedAnswer] = set()

    def charge(self, answer: UnfinishedAnswer, size: int) -> None:
        """Record the present size of an answer, and hold it back if it does not fit."""
        if size <= FREE_ANSWER_BYTES and answer not in self.sizes:
            return
        self.used_bytes += size - self.sizes.get(answer, 0)
        self.sizes[answer] = size
        is_oldest = next(iter(self.sizes)) is answer
        if self.used_bytes <= self.limit_bytes or is_oldest:
            return
        self.held_back.add(answer)
        answer.hold_back()

    def release(self, answer: UnfinishedAnswer) -> None:
        """Forget an answer that has ended, and let others use its share."""
        if answer not in self.sizes:
            return
        self.used_bytes -= self.sizes.pop(answer)
        self.held_back.discard(answer)
        if self.used_bytes <= self.limit_bytes:
            self._read_on(list(self.held_back))
        elif self.sizes:
            oldest = next(iter(self.sizes))
            self._read_on([oldest] if oldest in self.held_back else [])

    def _read_on(self, answers: list[UnfinishedAnswer]) -> None:
        for answer in answers:
            self.held_back.discard(answer)
            answer.read_on()
