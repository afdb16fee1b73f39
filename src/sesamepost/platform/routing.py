"""Decoding of the operator's routing settings, as they are kept in the store."""

import json
from typing import Any

import structlog

from sesamepost.internal.forwarding.routes import (
    Limits,
    Route,
    RoutingSettings,
    Service,
    Share,
)

# Requests of this kind may be executed more than once.
RETRYABLE_KIND = "safe"

log = structlog.get_logger()


def decode_routing(data: bytes) -> RoutingSettings | None:
    """Return the settings, or log an error and return None if they are invalid."""
    try:
        return _decode(json.loads(data))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        log.error("operator_settings_invalid", error=repr(error))
        return None


def _decode(fields: dict[str, Any]) -> RoutingSettings:
    routes = []
    for host in fields["virtualHosts"]:
        for path in host["paths"]:
            routes.append(_route(host["host"], path))
    services = {s["name"]: _service(s) for s in fields["services"]}
    limits = fields.get("limits", {})
    defaults = Limits()
    return RoutingSettings(
        int(fields["version"]),
        tuple(routes),
        services,
        Limits(
            int(limits.get("maxHeaderBytes", defaults.header_bytes)),
            int(limits.get("maxBodyBytes", defaults.body_bytes)),
            float(limits.get("headerTimeoutS", defaults.header_timeout_s)),
            float(limits.get("idleTimeoutS", defaults.idle_timeout_s)),
        ),
    )


def _route(host: str, path: dict[str, Any]) -> Route:
    split = path.get("trafficSplit")
    if split:
        shares = tuple(Share(s["service"], float(s["weight"])) for s in split)
    else:
        shares = (Share(path["service"], 1.0),)
    return Route(
        name=path["name"],
        host=host,
        prefix=path["prefix"],
        is_retryable=path["kind"] == RETRYABLE_KIND,
        timeout_s=float(path.get("timeoutS", 0)),
        target_latency_s=float(path.get("targetLatencyS", 0)),
        max_endpoints=int(path.get("maxAttempts", 1)),
        priority=int(path.get("priority", 0)),
        shares=shares,
    )


def _service(fields: dict[str, Any]) -> Service:
    return Service(
        fields["name"],
        bool(fields.get("sharded", False)),
        int(fields.get("maxConnections", 100)),
        fields.get("healthCheckPath", "/health"),
    )
