"""Holds the store's lease that names the controller."""

import asyncio
import random
from collections.abc import Callable

import structlog

from sesamepost.internal.clock import boottime
from sesamepost.internal.documents.views import CONTROLLER_DOCUMENT, ControllerRecord
from sesamepost.internal.store.envelope import Envelope, encode_envelope
from sesamepost.internal.store.interface import (
    Store,
    StoreConflictError,
    StoreUnavailableError,
)
from sesamepost.internal.store.reader import StoreReader

LEASE_TTL_MS = 2000
RENEW_INTERVAL_S = 0.5
CAMPAIGN_INTERVAL_S = 0.1
CAMPAIGN_RETRY_S = 1.0
CAMPAIGN_JITTER_S = 0.1
ORPHAN_WAIT_S = 5.0
ORPHAN_JITTER_S = 5.0
# A daemon that finds no fleet at its start need not wait for one to be lost.
FIRST_WAIT_S = 0.3

log = structlog.get_logger()


class Leadership:
    """Campaigns for the controller's lease and renews it.

    Two daemons may believe that they lead for a moment. That does no harm, since each
    decision is a compare-and-swap on the version that it was based on.
    ``is_candidate`` says whether this daemon is a standing candidate; any other
    campaigns only after it has seen no controller for a while.
    """

    def __init__(
        self,
        store: Store,
        reader: StoreReader,
        record: ControllerRecord,
        is_candidate: Callable[[], bool],
    ) -> None:
        self.store = store
        self.reader = reader
        self.record = record
        self.is_candidate = is_candidate
        self.lease = ""
        self.renewed_at = float("-inf")
        self.started_at = boottime()
        self.controller_seen_at = float("-inf")
        self.orphan_wait_s = ORPHAN_WAIT_S + random.uniform(0, ORPHAN_JITTER_S)
        self.first_wait_s = random.uniform(FIRST_WAIT_S, 2 * FIRST_WAIT_S)

    @property
    def leads(self) -> bool:
        """Whether the lease was renewed recently enough to act as the controller."""
        return bool(self.lease) and (
            boottime() - self.renewed_at < LEASE_TTL_MS / 1000 - RENEW_INTERVAL_S
        )

    def wants_store(self) -> bool:
        """Return whether this daemon should follow the store at present."""
        return bool(self.lease) or self.is_candidate() or self.is_orphan()

    def is_orphan(self) -> bool:
        """Return whether no controller was heard of for a long time."""
        now = boottime()
        if now - self.started_at < self.first_wait_s:
            return False
        return now - self.controller_seen_at > self.orphan_wait_s

    def note_controller(self) -> None:
        """Note that the controller was in reach."""
        self.controller_seen_at = boottime()

    async def run(self) -> None:
        """Campaign and renew; never returns."""
        while True:
            try:
                if self.lease:
                    await self._renew()
                    await asyncio.sleep(RENEW_INTERVAL_S)
                elif self._may_campaign():
                    await self._campaign()
                else:
                    await asyncio.sleep(CAMPAIGN_INTERVAL_S)
            except StoreUnavailableError:
                await asyncio.sleep(RENEW_INTERVAL_S)

    async def resign(self) -> None:
        """End the lease so that another daemon can take over at once."""
        lease, self.lease = self.lease, ""
        if not lease:
            return
        try:
            await self.store.end_lease(lease)
        except StoreUnavailableError:
            log.warning("controller_lease_not_ended")

    def _may_campaign(self) -> bool:
        return self.reader.is_current and (
            CONTROLLER_DOCUMENT not in self.reader.stored_versions
        )

    async def _campaign(self) -> None:
        await asyncio.sleep(random.uniform(0, CAMPAIGN_JITTER_S))
        if not self._may_campaign():
            return
        started = boottime()
        lease = await self.store.grant_lease(LEASE_TTL_MS)
        envelope = Envelope(str(self.record.node), (), self.record.encode())
        try:
            version = await self.store.put(
                CONTROLLER_DOCUMENT, encode_envelope(envelope), 0, lease
            )
        except StoreConflictError:
            await self.store.end_lease(lease)
            await asyncio.sleep(CAMPAIGN_RETRY_S)
            return
        self.lease = lease
        self.renewed_at = started
        self.reader.stored_versions[CONTROLLER_DOCUMENT] = version
        self.reader.replica.offer(CONTROLLER_DOCUMENT, version, self.record.encode())
        log.info("controller_elected", node=str(self.record.node))

    async def _renew(self) -> None:
        started = boottime()
        if await self.store.renew_lease(self.lease):
            self.renewed_at = started
            return
        self.lease = ""
        log.warning("controller_lease_lost", node=str(self.record.node))
