"""Announcements by which the endpoints of this VM register with the daemon."""

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

import structlog
from aiohttp import web

from sesamepost.internal.clock import boottime
from sesamepost.internal.wire.pool import Address

# Endpoints announce themselves every second. One lost announcement is tolerated; after
# two in a row the endpoint is out of service until the next one.
ANNOUNCEMENT_TTL_S = 2.5

log = structlog.get_logger()


class EndpointState(StrEnum):
    """The state that an endpoint reports in its announcements."""

    COLD = "cold"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Announcement:
    """An endpoint's report on itself; ``received_at`` is on ``CLOCK_BOOTTIME``."""

    service: str
    url: str
    fenced: bool
    slots: int
    connections: int
    state: EndpointState
    load: float
    received_at: float

    def is_current(self, now: float) -> bool:
        """Return whether the announcement has not expired at ``now``."""
        return now - self.received_at < ANNOUNCEMENT_TTL_S


class AnnouncementError(ValueError):
    """Raised for a malformed announcement; the message says what is expected."""


def parse_announcement(service: str, content: object, now: float) -> Announcement:
    """Build an announcement from its decoded JSON.

    Raises ``AnnouncementError`` if a field is missing or invalid.
    """
    if not isinstance(content, dict):
        raise AnnouncementError("the announcement must be a JSON object")
    url = content.get("url")
    if not isinstance(url, str) or not url.startswith("http://"):
        raise AnnouncementError(f"url must begin with http://, got {url!r}")
    for name in ("slots", "connections"):
        value = content.get(name)
        if type(value) is not int or not 1 <= value <= 65_535:
            raise AnnouncementError(
                f"{name} must be an integer from 1 to 65535, got {value!r}"
            )
    if type(content.get("fenced")) is not bool:
        raise AnnouncementError("fenced must be true or false")
    state = content.get("state")
    if state not in set(EndpointState):
        raise AnnouncementError(f"state must be cold, ready or draining, got {state!r}")
    load = content.get("load", 0)
    if type(load) not in (int, float) or not math.isfinite(load) or load < 0:
        raise AnnouncementError(f"load must be a finite number >= 0, got {load!r}")
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
    """The HTTP server to which endpoints send and withdraw their announcements."""

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
        """Listen on ``address`` and return the bound address."""
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
