"""Routing settings: routes by host and path, services and limits."""

import random
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Share:
    """A service and its weight in the split of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """The rules for requests whose path starts with ``prefix``.

    ``timeout_s`` is 0 if there is no timeout. ``target_latency_s`` is the time within
    which an answer has its full value. ``priority`` 0 is the most urgent. Its
    requests run, and their bodies are stored, only in ``allowed_regions``, if any.
    """

    name: str
    host: str
    prefix: str
    is_retryable: bool
    timeout_s: float
    target_latency_s: float
    max_endpoints: int
    priority: int
    shares: tuple[Share, ...]
    allowed_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Service:
    """A service of the operator; it is partitioned if its keys have owners.

    With ``grants_by_heartbeat``, its endpoints take keys only with the answers to their
    heartbeats. An endpoint is cold for ``cold_start_s`` after its start. While it is
    cold, it tolerates ``cold_requests_per_s``, or any number if that is 0.
    """

    name: str
    is_partitioned: bool
    max_connections: int
    health_path: str
    grants_by_heartbeat: bool = False
    cold_start_s: float = 0.0
    cold_requests_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the requests and connections of callers."""

    header_bytes: int = 16 << 10
    body_bytes: int = 8 << 20
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclass(frozen=True, slots=True)
class RoutingSettings:
    """One version of the routing settings."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits = field(default_factory=Limits)

    def index(self) -> "RouteIndex":
        """Return an index for route look-ups."""
        return RouteIndex(self)


class RouteIndex:
    """Finds the route with the longest matching path prefix."""

    __slots__ = ("by_host", "settings")

    def __init__(self, settings: RoutingSettings) -> None:
        self.settings = settings
        self.by_host: dict[str, dict[str, Route]] = {}
        for route in settings.routes:
            self.by_host.setdefault(route.host.lower(), {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of ``path`` at ``host``, or None.

        Prefixes end with a slash, so a candidate ends at each slash of the path.
        """
        prefixes = self.by_host.get(host.lower())
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None


def regions_by_service(settings: RoutingSettings) -> dict[str, frozenset[str]]:
    """Return the regions in which the keys of services may be owned.

    Only a service all of whose routes are restricted is included. An owner must be
    where each of these routes allows it, or else where any of them does.
    """
    routes: dict[str, list[Route]] = {}
    for route in settings.routes:
        for share in route.shares:
            routes.setdefault(share.service, []).append(route)
    found = {}
    for service, leading in routes.items():
        allowed = [route.allowed_regions for route in leading]
        if all(allowed):
            common = frozenset.intersection(*allowed)
            found[service] = common or frozenset.union(*allowed)
    return found


class SplitSelector:
    """Selects the services of routes with several shares.

    Smooth weighted round robin keeps the shares accurate over short periods; a random
    choice deviates by several percent in a hundred requests.
    """

    def __init__(self) -> None:
        self.credit: dict[tuple[str, str], float] = {}

    def select(self, route: Route) -> str:
        """Return the service of the next request on ``route``."""
        if len(route.shares) == 1:
            return route.shares[0].service
        total = sum(share.weight for share in route.shares)
        best = None
        best_credit = float("-inf")
        for share in route.shares:
            key = (route.name, share.service)
            credit = self.credit.get(key)
            if credit is None:
                # A random start keeps nodes from selecting in lockstep.
                credit = random.random() * total
            credit += share.weight
            self.credit[key] = credit
            if share.weight > 0 and credit > best_credit:
                best, best_credit = share.service, credit
        if best is None:
            return route.shares[0].service
        self.credit[route.name, best] -= total
        return best
