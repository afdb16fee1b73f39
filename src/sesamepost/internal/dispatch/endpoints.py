"""The endpoints of this VM, as they announce themselves."""

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

import structlog
from aiohttp import web

from sesamepost.internal.clock import boottime
from sesamepost.internal.wire.pool import Address

# Endpoints announce themselves every second; two lost announcements are allowed.
ANNOUNCEMENT_TTL_S = 2.5

log = structlog.get_logger()


class EndpointState(StrEnum):
    """The state in which an endpoint says it is."""

    COLD = "cold"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Announcement:
    """What an endpoint says of itself; ``received_at`` is on ``CLOCK_BOOTTIME``."""

    service: str
    url: str
    fenced: bool
    slots: int
    connections: int
    state: EndpointState
    load: float
    received_at: float

    def is_current(self, now: float) -> bool:
        """Return whether the announcement was renewed recently enough."""
        return now - self.received_at < ANNOUNCEMENT_TTL_S


class AnnouncementError(ValueError):
    """An announcement is malformed; the text names the field and the remedy."""


def parse_announcement(service: str, content: object, now: float) -> Announcement:
    """Check the JSON of an announcement; raise ``AnnouncementError``."""
    if not isinstance(content, dict):
        raise AnnouncementError("the announcement must be a JSON object")
    url = content.get("url")
    if not isinstance(url, str) or not url.startswith("http://"):
        raise AnnouncementError(f"url must begin with http://, got {url!r}")
    for name in ("slots", "connections"):
        value = content.get(name)
        if type(value) is not int or not 1 <= value <= 65_535:
            raise AnnouncementError(f"{name} must be 1 to 65535, got {value!r}")
    if type(content.get("fenced")) is not bool:
        raise AnnouncementError("fenced must be true or false")
    state = content.get("state")
    if state not in set(EndpointState):
        raise AnnouncementError(f"state must be cold, ready or draining, got {state!r}")
    load = content.get("load", 0)
    if type(load) not in (int, float) or not math.isfinite(load) or load < 0:
        raise AnnouncementError(f"load must be a number of 0 or more, got {load!r}")
    return Announcement(
        service,
        url,
        content["fenced"],
        content["slots"],
        content["connections"],
        EndpointState(state),
        float(load),
        now,
    )


class EndpointServer:
    """The endpoints' port: takes announcements and their withdrawal."""

    def __init__(
        self,
        on_announced: Callable[[Announcement], None],
        on_withdrawn: Callable[[str], None],
    ) -> None:
        self.on_announced = on_announced
        self.on_withdrawn = on_withdrawn
        self.counters: Counter[str] = Counter()
        self.runner: web.AppRunner | None = None

    async def listen(self, address: Address) -> Address:
        """Accept announcements at ``address`` and return the bound address."""
        app = web.Application()
        app.router.add_put("/v1/endpoints/{service}", self._put)
        app.router.add_delete("/v1/endpoints/{service}", self._delete)
        self.runner = web.AppRunner(app, handle_signals=False, access_log=None)
        await self.runner.setup()
        await web.TCPSite(self.runner, *address).start()
        return Address(*self.runner.addresses[0][:2])

    async def __aenter__(self) -> "EndpointServer":
        return self

    async def __aexit__(self, *error) -> None:
        if self.runner is not None:
            await self.runner.cleanup()

    async def _put(self, request: web.Request) -> web.Response:
        service = request.match_info["service"]
        try:
            content = await request.json()
            announcement = parse_announcement(service, content, boottime())
        except ValueError as error:
            self.counters["bad_announcements"] += 1
            return web.Response(status=400, text=f"{error}\n")
        self.counters["announcements"] += 1
        self.on_announced(announcement)
        return web.Response(status=204)

    async def _delete(self, request: web.Request) -> web.Response:
        self.on_withdrawn(request.match_info["service"])
        return web.Response(status=204)
