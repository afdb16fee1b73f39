"""An HTTP stand-in for the platform's metadata store."""

import asyncio
import copy
import json
import random
from base64 import b64encode

from aiohttp import web

ERA_HEADER = "Store-Era"
MAX_EVENTS = 500
MAX_ENTRIES = 32
LEASE_CHECK_INTERVAL_S = 0.05
SILENCE_S = 60.0


class StoreStandin:
    """Keeps items, leases and events in memory.

    ``is_down`` makes every call fail, ``rejected`` holds the addresses whose calls
    fail, ``is_silent`` leaves calls unanswered, and ``lost_share`` is the share of
    calls that take effect without an answer. Leases do not expire while the store is
    down. All answers state ``era`` unless it is None; ``restore`` raises it.
    """

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        # The counter starts above 0, which stands for a key that does not exist.
        self.revision = 1
        self.leases: dict[int, list[float]] = {}
        self.next_lease = 1000
        self.era: int | None = None
        self.changed = asyncio.Condition()
        self.is_down = False
        self.is_silent = False
        self.rejected: set[str] = set()
        self.lost_share = 0.0
        self.oldest_revision = 0
        self.checked_leases_at = 0.0
        self.calls = 0
        self.runner: web.AppRunner | None = None
        self.expiry_task: asyncio.Task | None = None
        self.address = ""

    async def __aenter__(self) -> "StoreStandin":
        app = web.Application(middlewares=[self._inject_faults])
        app.add_routes(
            [
                web.get("/kv-key", self._key),
                web.get("/kv-range", self._range),
                web.get("/kv-watch", self._watch),
                web.post("/kv-txn", self._txn),
                web.post("/kv-lease", self._lease),
                web.post("/kv-keep/{id}", self._keep),
                web.delete("/kv-lease-end/{id}", self._end),
            ]
        )
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        self.address = "{}:{}".format(*self.runner.addresses[0][:2])
        self.checked_leases_at = asyncio.get_running_loop().time()
        self.expiry_task = asyncio.create_task(self._expire_leases())
        return self

    async def __aexit__(self, *error) -> None:
        self.expiry_task.cancel()
        await self.runner.cleanup()

    async def put(self, key: str, value: dict) -> None:
        """Write a value, as the operator does."""
        await self._set(key, json.dumps(value).encode(), 0)

    async def remove(self, key: str) -> None:
        """Remove a key, as the operator does."""
        del self.items[key]
        self.revision += 1
        self._record_deletion(key)
        await self._notify()

    def forget_history(self) -> None:
        """Drop all events, so that watches from older revisions must list again."""
        self.events.clear()
        self.oldest_revision = self.revision

    def take_copy(self) -> dict:
        """Return a copy of all that the store keeps."""
        kept = ("items", "events", "revision", "oldest_revision", "leases")
        state = {name: getattr(self, name) for name in (*kept, "next_lease")}
        return copy.deepcopy(state)

    async def restore(self, state: dict) -> None:
        """Come back from a copy of ``take_copy``, in the next era.

        The leases of the copy begin anew.
        """
        for name, value in copy.deepcopy(state).items():
            setattr(self, name, value)
        now = asyncio.get_running_loop().time()
        for lease in self.leases.values():
            lease[1] = now + lease[0]
        self.era = (self.era or 0) + 1
        await self._notify()

    @web.middleware
    async def _inject_faults(self, request: web.Request, handler):
        self.calls += 1
        if self.is_silent:
            await asyncio.sleep(SILENCE_S)
        if self.is_down or request.remote in self.rejected:
            response = web.json_response({"error": "busy"}, status=503)
        else:
            response = await handler(request)
        if self.era is not None:
            response.headers[ERA_HEADER] = str(self.era)
        is_lost = self.lost_share and random.random() < self.lost_share
        if is_lost and request.transport is not None:
            request.transport.abort()
        return response

    async def _key(self, request: web.Request) -> web.Response:
        item = self.items.get(request.query["key"])
        if item is None:
            return web.json_response({"atRevision": self.revision}, status=404)
        return web.json_response({**item, "atRevision": self.revision})

    async def _range(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[key] for key in keys[:5]]
        return web.json_response(
            {
                "items": page,
                "truncated": len(keys) > len(page),
                "atRevision": self.revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query["prefix"]
        after = int(request.query["after"])
        wait_s = int(request.query["waitMs"]) / 1000
        if not self.oldest_revision <= after <= self.revision:
            return web.json_response({}, status=410)

        def matching_events() -> list[dict]:
            return [
                e
                for e in self.events
                if e["revision"] > after and e["key"].startswith(prefix)
            ]

        try:
            async with asyncio.timeout(wait_s), self.changed:
                await self.changed.wait_for(lambda: matching_events() or self.is_down)
        except TimeoutError:
            pass
        if self.is_down or request.remote in self.rejected:
            return web.json_response({}, status=503)
        events = matching_events()
        return web.json_response({"events": events, "atRevision": self.revision})

    async def _txn(self, request: web.Request) -> web.Response:
        body = await request.json()
        rows = [*body["expectedRevision"], *body["setKeys"], *body["remove"]]
        if len(rows) > MAX_ENTRIES:
            return web.json_response({"error": "too many entries"}, status=400)
        expected = {row["key"]: row["revision"] for row in body["expectedRevision"]}
        present = [self.items[key] for key in expected if key in self.items]
        revisions = {item["key"]: item["revision"] for item in present}
        if any(revisions.get(key, 0) != revision for key, revision in expected.items()):
            return web.json_response({"items": present}, status=412)
        for write in body["setKeys"]:
            if write["lease"] and write["lease"] not in self.leases:
                return web.json_response({}, status=404)
        self.revision += 1
        for write in body["setKeys"]:
            self._apply(write["key"], write["value"], write["lease"])
        for key in body["remove"]:
            if self.items.pop(key, None) is not None:
                self._record_deletion(key)
        await self._notify()
        return web.json_response({"revision": self.revision})

    async def _lease(self, request: web.Request) -> web.Response:
        ttl_s = (await request.json())["ttlS"]
        lease = self.next_lease
        self.next_lease += 1
        self.leases[lease] = [ttl_s, asyncio.get_running_loop().time() + ttl_s]
        return web.json_response({"lease": lease, "ttlS": ttl_s})

    async def _keep(self, request: web.Request) -> web.Response:
        lease = self.leases.get(int(request.match_info["id"]))
        if lease is None:
            return web.json_response({}, status=404)
        lease[1] = asyncio.get_running_loop().time() + lease[0]
        return web.json_response({"ttlS": lease[0]})

    async def _end(self, request: web.Request) -> web.Response:
        await self._end_lease(int(request.match_info["id"]))
        return web.json_response({})

    async def _set(self, key: str, value: bytes, lease: int) -> None:
        self.revision += 1
        self._apply(key, b64encode(value).decode(), lease)
        await self._notify()

    def _apply(self, key: str, value: str, lease: int) -> None:
        former = self.items.get(key)
        created = former["createdRevision"] if former else self.revision
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "createdRevision": created,
            "lease": lease,
        }
        self.items[key] = item
        self._record(item)

    def _record(self, event: dict) -> None:
        self.events.append(event)
        if len(self.events) > MAX_EVENTS:
            self.oldest_revision = self.events.pop(0)["revision"]

    def _record_deletion(self, key: str) -> None:
        self._record({"key": key, "revision": self.revision, "deleted": True})

    async def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            del self.items[key]
            self.revision += 1
            self._record_deletion(key)
        await self._notify()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            await self.check_leases()

    async def check_leases(self) -> None:
        """End the leases that are over; those of a store that is down pause."""
        now = asyncio.get_running_loop().time()
        passed_s, self.checked_leases_at = now - self.checked_leases_at, now
        if self.is_down:
            await self._notify()
            for lease in self.leases.values():
                lease[1] += passed_s
            return
        due = [(end, number) for number, (_, end) in self.leases.items() if end <= now]
        for _, number in sorted(due):
            await self._end_lease(number)

    async def _notify(self) -> None:
        async with self.changed:
            self.changed.notify_all()
