"""Election of the controller by a lease in the store."""

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
NO_CONTROLLER_WAIT_S = 5.0
NO_CONTROLLER_JITTER_S = 5.0
# A daemon that finds no controller after its start waits one to two times this long. It
# knew no controller before, so it need not wait for one to return.
STARTUP_WAIT_S = 0.3

log = structlog.get_logger()


class Leadership:
    """Campaigns for the controller's lease and renews it.

    Two daemons may briefly both believe that they lead. This is harmless, because every
    decision is written by a compare-and-swap on the version on which it was based.
    ``is_candidate`` tells whether this daemon is a standing candidate; any other daemon
    campaigns only after it has had no contact with a controller for a while.
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
        self.last_controller_contact_at = float("-inf")
        self.no_controller_wait_s = NO_CONTROLLER_WAIT_S + random.uniform(
            0, NO_CONTROLLER_JITTER_S
        )
        self.startup_wait_s = random.uniform(STARTUP_WAIT_S, 2 * STARTUP_WAIT_S)

    @property
    def is_leader(self) -> bool:
        """Whether the lease was renewed recently enough to act as the controller."""
        return bool(self.lease) and (
            boottime() - self.renewed_at < LEASE_TTL_MS / 1000 - RENEW_INTERVAL_S
        )

    def should_follow_store(self) -> bool:
        """Return whether this daemon should follow the store."""
        return bool(self.lease) or self.is_candidate() or self.lacks_controller()

    def lacks_controller(self) -> bool:
        """Return whether no controller has been reachable for a long time."""
        now = boottime()
        if now - self.started_at < self.startup_wait_s:
            return False
        return now - self.last_controller_contact_at > self.no_controller_wait_s

    def record_controller_contact(self) -> None:
        """Record the time at which the controller was last reachable."""
        self.last_controller_contact_at = boottime()

    async def run(self) -> None:
        """Campaign for the lease and renew it; never returns."""
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
