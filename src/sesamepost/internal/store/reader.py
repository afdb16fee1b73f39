"""Reads the documents of the store and watches them for changes."""

import asyncio
from collections import Counter
from collections.abc import Callable

import structlog

from sesamepost.internal.documents.replica import Replica
from sesamepost.internal.store.envelope import EnvelopeError, decode_envelope
from sesamepost.internal.store.interface import Store, StoreUnavailableError

WATCH_WAIT_MS = 10_000
RETRY_DELAY_S = 0.5
ROLE_CHECK_INTERVAL_S = 0.25
ALL_KEYS_PREFIX = ""

log = structlog.get_logger()


class StoreReader:
    """Keeps the replica up to date while this daemon has a role that reads the store.

    ``should_read`` says whether it has such a role. ``stored_versions`` maps the keys
    that the last read found in the store to their versions; a missing controller key
    shows that the controller's lease has ended.
    """

    def __init__(
        self, store: Store, replica: Replica, should_read: Callable[[], bool]
    ) -> None:
        self.store = store
        self.replica = replica
        self.should_read = should_read
        self.counters: Counter[str] = Counter()
        self.stored_versions: dict[str, int] = {}
        self.revision = 0
        self.is_current = False
        self.changed = asyncio.Event()

    async def run(self) -> None:
        """Watch the store while the daemon has the role; never return."""
        while True:
            if not self.should_read():
                self.is_current = False
                await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
                continue
            try:
                await self._watch_once()
            except StoreUnavailableError as error:
                self._on_unavailable(error)
                await asyncio.sleep(RETRY_DELAY_S)

    async def read(self, name: str) -> None:
        """Read one document immediately, for example after a conflicting write."""
        stored = await self.store.get(name)
        if stored is None:
            self.stored_versions.pop(name, None)
            return
        self.stored_versions[name] = stored.version
        try:
            body = decode_envelope(stored.value).body
        except EnvelopeError as error:
            log.error("stored_value_rejected", name=name, error=str(error))
            return
        self.replica.offer(name, stored.version, body)

    async def _watch_once(self) -> None:
        changes = await self.store.watch(
            ALL_KEYS_PREFIX, self.revision, WATCH_WAIT_MS if self.is_current else 0
        )
        if changes.revision < self.revision:
            # The store was replaced or restored; read everything again.
            self.stored_versions.clear()
            self.revision = 0
            return
        for name, version in changes.changed:
            if version == 0:
                self.stored_versions.pop(name, None)
                continue
            self.stored_versions[name] = version
            if version > self.replica.version_of(name):
                await self.read(name)
        self.revision = changes.revision
        if not self.is_current:
            log.info("store_followed", revision=self.revision)
        self.is_current = True
        self.changed.set()

    def _on_unavailable(self, error: StoreUnavailableError) -> None:
        self.counters["failures"] += 1
        if self.is_current:
            log.warning("store_unreachable", error=str(error))
        self.is_current = False
