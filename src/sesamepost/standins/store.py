"""Stand-in for the platform's store with configurable faults.

It follows section 12 of ``docs/design.md``.
"""

import asyncio
import secrets
import signal
import time
from collections import Counter
from dataclasses import dataclass, field, fields

import defopt
from aiohttp import web

MAX_VALUE_BYTES = 1 << 20
SHUTDOWN_TIMEOUT_S = 0.2
MAX_TTL_MS = 3_600_000


@dataclass(slots=True)
class Faults:
    """Faults that ``POST /control`` switches on and off.

    ``outage`` answers every call with 503. ``delay_ms`` delays every call before it
    takes effect; the call takes effect even if the client has given up meanwhile.
    ``lose_write_replies`` breaks the connection of that many PUT and DELETE calls on
    values after they took effect. ``reads_per_s`` and ``writes_per_s`` limit the rate
    of calls, where lease calls count as writes and a watch as one read; 0 means no
    limit.
    """

    outage: bool = False
    delay_ms: int = 0
    lose_write_replies: int = 0
    reads_per_s: int = 0
    writes_per_s: int = 0


@dataclass(slots=True)
class Lease:
    """A lease and the keys that are deleted when it ends."""

    ttl_s: float
    expires_at: float
    timer: asyncio.TimerHandle
    keys: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Entry:
    """State of a key; ``value`` is None after a deletion.

    ``last_version`` is kept after a deletion, so that the versions of a key always
    increase.
    """

    last_version: int = 0
    revision: int = 0
    value: bytes | None = None
    lease: str = ""

    @property
    def version(self) -> int:
        """Current version, or 0 if the key does not exist."""
        return 0 if self.value is None else self.last_version


class TokenBucket:
    """Rate limiter that allows bursts of up to one second's worth of calls."""

    def __init__(self) -> None:
        self.rate_per_s = 0
        self.tokens = 0.0
        self.refilled_at = 0.0

    def admit(self, rate_per_s: int, now: float) -> bool:
        """Take a token if one is available; a new rate starts with a full bucket."""
        if rate_per_s == 0:
            return True
        if rate_per_s != self.rate_per_s:
            self.rate_per_s = rate_per_s
            self.tokens = float(rate_per_s)
        else:
            refill = (now - self.refilled_at) * rate_per_s
            self.tokens = min(self.tokens + refill, float(rate_per_s))
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class StoreStandIn:
    """HTTP server that acts as the platform's store; an async context manager.

    ``calls`` counts calls by kind and ``answers`` responses by status. A lost response
    counts under the status that it would have had.

    >>> async with StoreStandIn() as store:  # doctest: +SKIP
    ...     store.set_faults(lose_write_replies=1)
    """

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self.host = host
        self.port = port
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self.answers: Counter[int] = Counter()
        self.entries: dict[str, Entry] = {}
        self.leases: dict[str, Lease] = {}
        self.revision = 0
        self.changed_event = asyncio.Event()
        self.buckets = {"read": TokenBucket(), "write": TokenBucket()}
        self.runner: web.AppRunner | None = None

    @property
    def url(self) -> str:
        """Base URL for clients."""
        return f"http://{self.host}:{self.port}"

    async def __aenter__(self) -> "StoreStandIn":
        application = web.Application(client_max_size=2 * MAX_VALUE_BYTES)
        application.add_routes(
            [
                web.get("/v1/values", self._read_handler("list", self._list)),
                web.get("/v1/watch", self._read_handler("watch", self._watch)),
                web.get("/v1/values/{key:.+}", self._read_handler("get", self._get)),
                web.put("/v1/values/{key:.+}", self._write_handler("put", self._put)),
                web.delete(
                    "/v1/values/{key:.+}", self._write_handler("delete", self._delete)
                ),
                web.post(
                    "/v1/leases", self._write_handler("grant_lease", self._grant_lease)
                ),
                web.post(
                    "/v1/leases/{lease}",
                    self._write_handler("renew_lease", self._renew_lease),
                ),
                web.delete(
                    "/v1/leases/{lease}",
                    self._write_handler("end_lease", self._end_lease),
                ),
                web.get("/control", self._get_control),
                web.post("/control", self._post_control),
            ]
        )
        self.runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self.runner.setup()
        site = web.TCPSite(self.runner, self.host, self.port)
        await site.start()
        self.port = self.runner.addresses[0][1]
        return self

    async def __aexit__(self, *error) -> None:
        for lease in self.leases.values():
            lease.timer.cancel()
        if self.runner is not None:
            await self.runner.cleanup()

    def set_faults(self, **changes) -> None:
        """Change the given faults and wake pending watches, which an outage ends."""
        known = {item.name: type(item.default) for item in fields(Faults)}
        for name, value in changes.items():
            if name not in known:
                raise ValueError(f"unknown fault {name!r}; expected {', '.join(known)}")
            if type(value) is not known[name] or value < 0:
                raise ValueError(f"{name} must be {known[name].__name__}, not {value}")
        for name, value in changes.items():
            setattr(self.faults, name, value)
        self._wake_watches()

    def _read_handler(self, kind: str, handler):
        return self._wrap_handler("read", kind, handler)

    def _write_handler(self, kind: str, handler):
        return self._wrap_handler("write", kind, handler)

    def _wrap_handler(self, group: str, kind: str, handler):
        async def handle(request: web.Request) -> web.StreamResponse:
            self.calls[kind] += 1
            response = await self._respond(request, group, handler)
            self.answers[response.status] += 1
            is_value_write = kind in ("put", "delete") and response.status == 200
            if is_value_write and self.faults.lose_write_replies > 0:
                self.faults.lose_write_replies -= 1
                if request.transport is not None:
                    request.transport.abort()
            return response

        return handle

    async def _respond(
        self, request: web.Request, group: str, handler
    ) -> web.StreamResponse:
        rate_per_s = getattr(self.faults, f"{group}s_per_s")
        if not self.buckets[group].admit(rate_per_s, time.monotonic()):
            return web.Response(status=429)
        # Read the body first, so that the call takes effect even if the client gives up
        # and closes the connection.
        await request.read()
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        if self.faults.outage:
            return web.Response(status=503)
        self._expire_leases()
        return await handler(request)

    async def _get(self, request: web.Request) -> web.Response:
        entry = self.entries.get(request.match_info["key"])
        if entry is None or entry.value is None:
            return web.Response(status=404)
        return web.Response(body=entry.value, headers=_version_header(entry.version))

    async def _list(self, request: web.Request) -> web.Response:
        prefix = request.query.get("prefix", "")
        return web.json_response(
            sorted(
                [key, entry.version]
                for key, entry in self.entries.items()
                if entry.value is not None and key.startswith(prefix)
            )
        )

    async def _put(self, request: web.Request) -> web.Response:
        expected = _parse_number(request.headers.get("If-Version"), "If-Version")
        value = await request.read()
        if len(value) > MAX_VALUE_BYTES:
            return web.Response(status=413)
        key = request.match_info["key"]
        lease = request.headers.get("Lease", "")
        if lease and lease not in self.leases:
            return web.Response(status=404, text="the lease has ended")
        entry = self.entries.get(key, Entry())
        if entry.version != expected:
            return web.Response(status=412, headers=_version_header(entry.version))
        self._write_entry(key, value, lease)
        return web.Response(headers=_version_header(self.entries[key].version))

    async def _delete(self, request: web.Request) -> web.Response:
        expected = _parse_number(request.headers.get("If-Version"), "If-Version")
        key = request.match_info["key"]
        entry = self.entries.get(key, Entry())
        if entry.version != expected or expected == 0:
            return web.Response(status=412, headers=_version_header(entry.version))
        self._write_entry(key, None, "")
        return web.Response()

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query.get("prefix", "")
        after = _parse_number(request.query.get("after"), "after")
        wait_ms = _parse_number(request.query.get("wait_ms"), "wait_ms")
        if after > self.revision:
            # The client has seen a later revision, from an earlier run of the store, so
            # it must read everything again.
            after = 0
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            if self.faults.outage:
                return web.Response(status=503)
            changed = [
                [key, entry.version]
                for key, entry in sorted(self.entries.items())
                if entry.revision > after and key.startswith(prefix)
            ]
            remaining = deadline - time.monotonic()
            if changed or remaining <= 0:
                return web.json_response(
                    {"revision": self.revision, "changed": changed}
                )
            try:
                await asyncio.wait_for(self.changed_event.wait(), remaining)
            except TimeoutError:
                continue

    async def _grant_lease(self, request: web.Request) -> web.Response:
        ttl_ms = _parse_number(request.query.get("ttl_ms"), "ttl_ms")
        if not 1 <= ttl_ms <= MAX_TTL_MS:
            raise web.HTTPBadRequest(text=f"ttl_ms must be 1 to {MAX_TTL_MS}")
        name = secrets.token_hex(8)
        ttl_s = ttl_ms / 1000
        timer = self._start_timer(name, ttl_s)
        self.leases[name] = Lease(ttl_s, time.monotonic() + ttl_s, timer)
        return web.json_response({"lease": name})

    async def _renew_lease(self, request: web.Request) -> web.Response:
        name = request.match_info["lease"]
        lease = self.leases.get(name)
        if lease is None:
            return web.Response(status=404)
        lease.timer.cancel()
        lease.expires_at = time.monotonic() + lease.ttl_s
        lease.timer = self._start_timer(name, lease.ttl_s)
        return web.Response()

    async def _end_lease(self, request: web.Request) -> web.Response:
        name = request.match_info["lease"]
        if name not in self.leases:
            return web.Response(status=404)
        self._remove_lease(name)
        return web.Response()

    async def _get_control(self, request: web.Request) -> web.Response:
        faults = {item.name: getattr(self.faults, item.name) for item in fields(Faults)}
        return web.json_response(
            {
                "calls": dict(self.calls),
                "answers": dict(self.answers),
                "faults": faults,
                "revision": self.revision,
            }
        )

    async def _post_control(self, request: web.Request) -> web.Response:
        try:
            self.set_faults(**await request.json())
        except (TypeError, ValueError) as error:
            raise web.HTTPBadRequest(text=str(error)) from None
        return await self._get_control(request)

    def _write_entry(self, key: str, value: bytes | None, lease: str) -> None:
        entry = self.entries.setdefault(key, Entry())
        if entry.lease in self.leases:
            self.leases[entry.lease].keys.discard(key)
        if value is not None:
            entry.last_version += 1
        self.revision += 1
        entry.revision = self.revision
        entry.value = value
        entry.lease = lease
        if lease:
            self.leases[lease].keys.add(key)
        self._wake_watches()

    def _start_timer(self, name: str, delay_s: float) -> asyncio.TimerHandle:
        loop = asyncio.get_running_loop()
        return loop.call_later(delay_s, self._handle_timer, name)

    def _handle_timer(self, name: str) -> None:
        self._expire_leases()
        lease = self.leases.get(name)
        if lease is not None:
            # uvloop rounds its clock to milliseconds, so a timer can fire early.
            remaining_s = max(lease.expires_at - time.monotonic(), 0.001)
            lease.timer = self._start_timer(name, remaining_s)

    def _expire_leases(self) -> None:
        """End every lease that has expired.

        This also runs before each call. Otherwise, after a pause of the process, a
        renewal could be handled before the timer of its expired lease.
        """
        now = time.monotonic()
        for name in [n for n, item in self.leases.items() if item.expires_at <= now]:
            self._remove_lease(name)

    def _remove_lease(self, name: str) -> None:
        lease = self.leases.pop(name)
        lease.timer.cancel()
        for key in sorted(lease.keys):
            self._write_entry(key, None, "")

    def _wake_watches(self) -> None:
        self.changed_event.set()
        self.changed_event = asyncio.Event()


def _version_header(version: int) -> dict[str, str]:
    return {"Version": str(version)}


def _parse_number(text: str | None, name: str) -> int:
    if text is None or not text.isdecimal():
        raise web.HTTPBadRequest(text=f"{name} must be a whole number, not {text!r}")
    return int(text)


async def serve(port: int) -> None:
    """Serve until SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stopped.set)
    async with StoreStandIn(port=port) as store:
        print(f"store ready at {store.url}", flush=True)
        await stopped.wait()


def run(*, port: int = 7000) -> None:
    """Run the stand-in for the platform's store on 127.0.0.1.

    :param port: Port to listen on; 0 chooses a free one. ``/control`` on the same port
        sets faults (POST) and returns the counts of calls (GET).
    """
    asyncio.run(serve(port))


def main() -> None:
    """Entry point of ``sesamepost-store``."""
    defopt.run(run)


if __name__ == "__main__":
    main()
