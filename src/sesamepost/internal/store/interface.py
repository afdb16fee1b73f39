"""The narrow interface to the platform's store, so that tests can replace it."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A value and its version; the version of a key only rises."""

    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class Changes:
    """The keys that changed up to ``revision``, with their present versions."""

    revision: int
    changed: tuple[tuple[str, int], ...]


class StoreUnavailableError(Exception):
    """The store did not answer, so a write may or may not have taken effect."""


class StoreRefusedError(StoreUnavailableError):
    """The store answered that it did not execute the call, or was never reached."""


class StoreConflictError(Exception):
    """A compare-and-swap failed; ``version`` is the version found in the store.

    ``author`` is who wrote that version, or empty if it is not known.
    """

    def __init__(self, key: str, expected: int, version: int, author: str = "") -> None:
        writer = f", written by {author}" if author else ""
        super().__init__(f"{key} is at version {version}{writer}, expected {expected}")
        self.key = key
        self.expected = expected
        self.version = version
        self.author = author


class StoreLeaseEndedError(StoreConflictError):
    """The lease that the value should be bound to has ended; nothing was written."""


class Store(Protocol):
    """Calls of the platform's store; all raise ``StoreUnavailableError``."""

    async def get(self, key: str) -> StoredValue | None:
        """Return the value at ``key``, or None."""

    async def put(self, key: str, value: bytes, expected: int, lease: str = "") -> int:
        """Write if the version is ``expected`` (0: absent); return the new version.

        Raises ``StoreConflictError``.
        """

    async def delete(self, key: str, expected: int) -> None:
        """Remove ``key`` if its version is ``expected``."""

    async def list(self, prefix: str) -> list[tuple[str, int]]:
        """Return the keys that begin with ``prefix`` and their versions."""

    async def watch(self, prefix: str, after: int, wait_ms: int) -> Changes:
        """Wait until a key changed after revision ``after``, at most ``wait_ms``."""

    async def grant_lease(self, ttl_ms: int) -> str:
        """Open a lease and return its id."""

    async def renew_lease(self, lease: str) -> bool:
        """Renew a lease; False if it has ended."""

    async def end_lease(self, lease: str) -> None:
        """End a lease and remove the values bound to it."""
