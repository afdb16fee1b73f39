"""One node's access to a shared store, which can fall silent."""

import asyncio

from sesamepost.internal.coordination.store import StoreSilentError
from tests.coordination.memory_store import MemoryStore

CALL_TIMEOUT_S = 0.8
WATCH_GRACE_S = 1.0


class SwitchedStore:
    """Loses each call that is under way or sent while ``is_silent``, without an error.

    A lost call ends with its timeout, even if the store answers again meanwhile.
    """

    def __init__(self, store: MemoryStore) -> None:
        self.store = store
        self.eras = store.eras
        self.is_silent = False
        self.fell_silent = asyncio.Event()
        self.calls: list[str] = []

    def silence(self) -> None:
        """Lose all calls from now on, also those under way."""
        self.is_silent = True
        self.lose_open_calls()

    def lose_open_calls(self) -> None:
        """Lose the calls under way; later ones are answered."""
        self.fell_silent.set()
        self.fell_silent = asyncio.Event()

    def restore(self) -> None:
        """Answer the calls that are sent from now on."""
        self.is_silent = False

    async def get(self, key):
        return await self._call("get", self.store.get(key))

    async def list(self, prefix):
        return await self._call("list", self.store.list(prefix))

    async def watch(self, prefix, after, wait_s):
        call = self.store.watch(prefix, after, wait_s)
        return await self._call("watch", call, wait_s + WATCH_GRACE_S)

    async def commit(self, transaction):
        return await self._call("commit", self.store.commit(transaction))

    async def open_lease(self, ttl_s):
        return await self._call("open_lease", self.store.open_lease(ttl_s))

    async def renew_lease(self, lease):
        await self._call("renew_lease", self.store.renew_lease(lease))

    async def end_lease(self, lease):
        await self._call("end_lease", self.store.end_lease(lease))

    async def _call(self, name: str, call, timeout_s: float = CALL_TIMEOUT_S):
        self.calls.append(name)
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        answer = asyncio.ensure_future(call)
        lost = asyncio.ensure_future(self.fell_silent.wait())
        try:
            if not self.is_silent:
                await asyncio.wait((answer, lost), return_when=asyncio.FIRST_COMPLETED)
                if not lost.done():
                    return answer.result()
            await asyncio.sleep(end - loop.time())
            raise StoreSilentError(f"{name}: no answer")
        finally:
            answer.cancel()
            lost.cancel()
