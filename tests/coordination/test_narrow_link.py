"""A node behind a narrow link catches up with the store after an outage."""

import asyncio

from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.coordination.store import StoreSilentError
from tests.coordination.memory_store import MemoryStore, put
from tests.waiting import until

TRANSFER_S_PER_EVENT = 0.02
CALL_TIMEOUT_S = 0.4
CHANGES_PER_S = 40
# The operators' bound for new settings to be in force.
SETTINGS_TIMEOUT_S = 2.5


class SlowTransferStore(MemoryStore):
    """Delays responses by their number of events and fails those that take too long."""

    is_down = False

    async def watch(self, prefix, after, wait_s):
        if self.is_down:
            raise StoreSilentError("down")
        batch = await super().watch(prefix, after, wait_s)
        await self._transfer(len(batch.events))
        return batch

    async def list(self, prefix):
        batch = await super().list(prefix)
        await self._transfer(len(batch.events))
        return batch

    async def _transfer(self, events: int) -> None:
        await asyncio.sleep(min(events * TRANSFER_S_PER_EVENT, CALL_TIMEOUT_S))
        if events * TRANSFER_S_PER_EVENT > CALL_TIMEOUT_S:
            raise StoreSilentError("the response took too long")


async def test_a_node_that_fell_behind_catches_up_with_a_listing():
    # Guards against a node that stays behind the store. On a link of 5 Mbit/s, the
    # response with every version of a table since the node's revision exceeded the call
    # timeout, and each later response was larger, so the node kept settings that were
    # seven seconds old (trouble-1 of grown Valstock).
    store = SlowTransferStore()
    await put(store, "settings", b"old")

    async def change_table() -> None:
        for number in range(1000):
            await put(store, "table", str(number).encode())
            await asyncio.sleep(1 / CHANGES_PER_S)

    async with Mirror(store) as mirror:
        await until(lambda: mirror.get("settings") is not None)
        changes = asyncio.ensure_future(change_table())
        store.is_down = True
        await asyncio.sleep(1.5)
        store.is_down = False
        await put(store, "settings", b"new")
        try:
            async with asyncio.timeout(SETTINGS_TIMEOUT_S):
                while mirror.get("settings").value != b"new":
                    await mirror.wait_for_change(SETTINGS_TIMEOUT_S)
        finally:
            changes.cancel()
