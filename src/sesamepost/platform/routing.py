"""Decoding of the operator's routing settings, as they are kept in the store."""

from typing import Annotated

import structlog
from msgspec import Meta, Struct
from msgspec.json import Decoder

from sesamepost.internal.forwarding.routes import (
    Limits,
    Route,
    RoutingSettings,
    Service,
    Share,
)
from sesamepost.internal.limits import Count, Name

# Requests of these kinds may be executed more than once. Responses of downloads are
# large.
DOWNLOAD_KIND = "download"
RETRYABLE_KINDS = frozenset({"safe", DOWNLOAD_KIND})
# Workers of such a service take their keys with the answers to their heartbeats.
GRANTS_BY_HEARTBEAT = "heartbeat"

MAX_SECONDS = 86_400.0

Seconds = Annotated[float, Meta(ge=0, le=MAX_SECONDS)]
Weight = Annotated[float, Meta(ge=0)]

log = structlog.get_logger()


class SplitFields(Struct):
    """A service and its share of the requests on a route."""

    service: str
    weight: Weight


class PathFields(Struct, rename="camel"):
    """A route of a host."""

    name: str
    prefix: str
    kind: str
    service: str = ""
    traffic_split: list[SplitFields] | None = None
    timeout_s: Seconds = 0.0
    target_latency_s: Seconds = 0.0
    max_attempts: Count = 1
    priority: Count = 0
    allowed_regions: list[Name] = []


class HostFields(Struct):
    """A host and its routes."""

    host: str
    paths: list[PathFields]


class ServiceFields(Struct, rename="camel"):
    """A service and how its workers are checked and given keys."""

    name: str
    sharded: bool = False
    max_connections: Count = 100
    health_check_path: str = "/health"
    grants: str = ""
    cold_start_s: Seconds = 0.0
    cold_per_s: Weight = 0.0


_DEFAULTS = Limits()


class LimitFields(Struct, rename="camel", frozen=True):
    """Bounds of what a caller may send."""

    max_header_bytes: Count = _DEFAULTS.header_bytes
    max_body_bytes: Count = _DEFAULTS.body_bytes
    header_timeout_s: Seconds = _DEFAULTS.header_timeout_s
    idle_timeout_s: Seconds = _DEFAULTS.idle_timeout_s


class RoutingFields(Struct, rename="camel"):
    """The operator's settings as they stand in the store."""

    version: Count
    services: list[ServiceFields]
    virtual_hosts: list[HostFields]
    limits: LimitFields = LimitFields()


_DECODER = Decoder(RoutingFields)


def decode_routing(data: bytes) -> RoutingSettings | None:
    """Return the settings, or log an error and return None if they are invalid."""
    try:
        return _settings(_DECODER.decode(data))
    except (ValueError, RecursionError) as error:
        log.error("operator_settings_invalid", error=repr(error))
        return None


def _settings(fields: RoutingFields) -> RoutingSettings:
    limits = fields.limits
    return RoutingSettings(
        fields.version,
        tuple(
            _route(host.host, path)
            for host in fields.virtual_hosts
            for path in host.paths
        ),
        {s.name: _service(s) for s in fields.services},
        Limits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
        ),
    )


def _route(host: str, path: PathFields) -> Route:
    if path.traffic_split:
        shares = tuple(Share(s.service, s.weight) for s in path.traffic_split)
    elif path.service:
        shares = (Share(path.service, 1.0),)
    else:
        raise ValueError(f"route {path.name!r} names no service")
    return Route(
        name=path.name,
        host=host,
        prefix=path.prefix,
        is_retryable=path.kind in RETRYABLE_KINDS,
        timeout_s=path.timeout_s,
        target_latency_s=path.target_latency_s,
        max_endpoints=path.max_attempts,
        priority=path.priority,
        shares=shares,
        allowed_regions=frozenset(path.allowed_regions),
    )


def _service(fields: ServiceFields) -> Service:
    return Service(
        fields.name,
        fields.sharded,
        fields.max_connections,
        fields.health_check_path,
        fields.grants == GRANTS_BY_HEARTBEAT,
        fields.cold_start_s,
        fields.cold_per_s,
    )
