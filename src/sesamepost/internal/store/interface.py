"""Interface of the platform's store, kept small so that tests can replace it."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A value and its version; the version of a key only increases."""

    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class Changes:
    """The keys that changed up to ``revision``, with their current versions."""

    revision: int
    changed: tuple[tuple[str, int], ...]


class StoreUnavailableError(Exception):
    """The store sent no usable response; a write may or may not have taken effect."""


class StoreRefusedError(StoreUnavailableError):
    """The store refused the call or was not reached, so the call had no effect."""


class StoreConflictError(Exception):
    """A compare-and-swap failed; ``version`` is the version found in the store.

    ``author`` wrote that version; it is empty if not known.
    """

    def __init__(self, key: str, expected: int, version: int, author: str = "") -> None:
        writer = f", written by {author}" if author else ""
        super().__init__(f"{key} is at version {version}{writer}, expected {expected}")
        self.key = key
        self.expected = expected
        self.version = version
        self.author = author


class StoreLeaseEndedError(StoreConflictError):
    """Nothing was written, because the lease to bind the value to has ended."""


class Store(Protocol):
    """Calls to the platform's store; all may raise ``StoreUnavailableError``."""

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of ``key``, or None if the key is absent."""

    async def put(self, key: str, value: bytes, expected: int, lease: str = "") -> int:
        """Write if the version is ``expected`` (0: absent); return the new version.

        Raises ``StoreConflictError`` if the key has another version.
        """

    async def delete(self, key: str, expected: int) -> None:
        """Delete ``key`` if its version is ``expected``."""

    async def list(self, prefix: str) -> list[tuple[str, int]]:
        """Return the keys that start with ``prefix``, with their versions."""

    async def watch(self, prefix: str, after: int, wait_ms: int) -> Changes:
        """Wait up to ``wait_ms`` for changes after revision ``after``."""

    async def grant_lease(self, ttl_ms: int) -> str:
        """Open a lease and return its id."""

    async def renew_lease(self, lease: str) -> bool:
        """Renew a lease; return False if it has ended."""

    async def end_lease(self, lease: str) -> None:
        """End a lease and delete the values bound to it."""
