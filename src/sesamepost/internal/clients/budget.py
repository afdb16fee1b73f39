"""One bound for the memory that all clients of a server use together."""

from typing import Protocol

# A connection up to this size never waits, so that large requests do not delay those
# of ordinary size.
FREE_BYTES = 64 << 10
# A connection that is read on uses up to this much more before it is charged again: one
# read of 256 KiB, counted with its copies.
READ_ON_BYTES = 768 << 10
# Multiples of the limit at which waiting is not enough.
OVERRUN_FACTOR = 1.5
CRITICAL_FACTOR = 2


class BudgetedConnection(Protocol):
    """A connection that can be left unread for a while."""

    def hold_back(self) -> None:
        """Read no more bytes until ``read_on`` is called."""

    def read_on(self) -> None:
        """Read further bytes."""


class ClientBudget:
    """Sums what is held for each connection, and leaves some connections unread.

    While the sum exceeds ``limit_bytes``, connections above ``FREE_BYTES`` wait until
    others have ended. The one that exceeded it first is always read on: otherwise all
    could wait for each other. Answers cannot wait, so the sum may still grow. Then the
    owner of the budget closes connections without progress once the sum
    ``is_overrun``, and any once it ``is_critical``.

        budget.charge(connection, 200_000, may_wait=True)
        budget.release(connection)
    """

    __slots__ = (
        "held_back",
        "large",
        "limit_bytes",
        "sizes",
        "used_bytes",
    )

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.sizes: dict[BudgetedConnection, int] = {}
        # In the order in which they exceeded ``FREE_BYTES``.
        self.large: dict[BudgetedConnection, None] = {}
        # In the order in which they were held back.
        self.held_back: dict[BudgetedConnection, None] = {}

    @property
    def is_exceeded(self) -> bool:
        """Whether the sum exceeds the limit, so that connections wait."""
        return self.used_bytes > self.limit_bytes

    @property
    def is_overrun(self) -> bool:
        """Whether connections without progress have to be closed."""
        return self.used_bytes > OVERRUN_FACTOR * self.limit_bytes

    @property
    def is_critical(self) -> bool:
        """Whether any connections have to be closed."""
        return self.used_bytes > CRITICAL_FACTOR * self.limit_bytes

    def charge(self, connection: BudgetedConnection, size: int, may_wait: bool) -> None:
        """Record the present size of a connection; hold it back if it does not fit.

        A connection that ``may_wait`` is not held back has nothing to be read but its
        end, which has to be noticed.
        """
        before = self.sizes.get(connection, 0)
        self.used_bytes += size - before
        self.sizes[connection] = size
        if size <= FREE_BYTES and not self.large:
            # Nobody can wait, as is usual.
            return
        if size > FREE_BYTES:
            self.large.setdefault(connection)
        else:
            self.large.pop(connection, None)
        is_waiting = may_wait and self._has_to_wait(connection)
        if is_waiting and connection not in self.held_back:
            self.held_back[connection] = None
            connection.hold_back()
        elif not is_waiting and connection in self.held_back:
            del self.held_back[connection]
            connection.read_on()
        if size < before:
            self.read_waiting()

    def release(self, connection: BudgetedConnection) -> None:
        """Forget a connection, and let others use its share."""
        if connection not in self.sizes:
            return
        self.used_bytes -= self.sizes.pop(connection)
        self.large.pop(connection, None)
        if connection in self.held_back:
            del self.held_back[connection]
            connection.read_on()
        self.read_waiting()

    def read_waiting(self) -> None:
        """Read on connections for which there is room, in the order of their wait."""
        room_bytes = self.limit_bytes - self.used_bytes
        for connection in list(self.held_back):
            if room_bytes < 0 and not self._is_oldest(connection):
                continue
            if connection not in self.held_back:
                # Reading another one on has released it.
                continue
            room_bytes -= READ_ON_BYTES
            del self.held_back[connection]
            connection.read_on()

    def _has_to_wait(self, connection: BudgetedConnection) -> bool:
        return (
            self.is_exceeded
            and connection in self.large
            and not self._is_oldest(connection)
        )

    def _is_oldest(self, connection: BudgetedConnection) -> bool:
        return next(iter(self.large), None) is connection
