"""Keepers with a store in memory and endpoints that record their commands."""

from contextlib import AsyncExitStack, asynccontextmanager

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.coordination.nodes import (
    EndpointInfo,
    NodeEntry,
    NodeTable,
    Registration,
)
from sesamepost.internal.ranges.commands import FenceBoundError
from sesamepost.internal.ranges.keeper import RangeKeeper
from sesamepost.internal.ranges.table import Owner, new_table
from sesamepost.internal.ranges.table_store import TableStore
from tests.coordination.memory_store import MemoryStore
from tests.waiting import until

SERVICE = "keyed"
OWNERS = [Owner(f"10.0.0.{i}", f"i-{i}", i) for i in range(1, 7)]


def entry(owner: Owner) -> NodeEntry:
    return NodeEntry(owner.vm, owner.vm, 1, 7000, "a", "r", None)


class RecordingEndpoint:
    """Executes every command at once and records it."""

    def __init__(self) -> None:
        self.granted: list[tuple[int, int, int]] = []
        self.released: list[tuple[int, int, int]] = []

    async def grant(self, first, last, fence, end, handover, may_send):
        self.granted.append((first, last, fence))
        return True

    async def release(self, first, last, fence):
        self.released.append((first, last, fence))
        return f"token-{first}"


class FencedEndpoint(RecordingEndpoint):
    """Executes commands as endpoints do, over connections of one group.

    It refuses a grant if it has seen a higher fence on one of the keys.
    """

    def __init__(self) -> None:
        super().__init__()
        self.group = 1

    async def grant(self, first, last, fence, end, handover, may_send):
        if not may_send(self.group):
            raise FenceBoundError(self.group)
        return self.execute_grant(first, last, fence)

    def execute_grant(self, first: int, last: int, fence: int) -> bool:
        """Execute a grant now, however long ago it was sent."""
        for begin, end, seen in self.granted:
            if begin <= last and first <= end and fence < seen:
                return False
        self.granted.append((first, last, fence))
        return True


@asynccontextmanager
async def running_keepers(
    store: MemoryStore,
    owners: list[Owner],
    by_heartbeat: bool = False,
    endpoint_type: type[RecordingEndpoint] = RecordingEndpoint,
):
    async with AsyncExitStack() as stack:
        tables = TableStore(store, Mirror(store), SERVICE)
        await tables.change("test", lambda table: new_table(owners))
        found = []
        for owner in owners:
            mirror = Mirror(store)
            registration = Registration(store, mirror, entry(owner))
            tables = TableStore(store, mirror, SERVICE, registration.last_lease_key)
            keeper = RangeKeeper(
                owner.vm,
                tables,
                NodeTable(mirror),
                registration,
                endpoint_type(),
                10.0,
                by_heartbeat,
            )
            registration.renewed_at = boottime()
            info = EndpointInfo(SERVICE, owner.endpoint_id, owner.born, 3, "v", True)
            keeper.set_endpoint(info, False)
            await stack.enter_async_context(mirror)
            await stack.enter_async_context(keeper)
            found.append(keeper)
        await until(lambda: all(k.holds.holds for k in found))
        if not by_heartbeat:
            await until(lambda: all(k.commands.granted for k in found))
        yield found
