"""Settings of one process that runs beside an endpoint."""

from dataclasses import dataclass

from sesamepost.internal.wire.pool import Address


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Where a node listens and what it stands beside.

    ``service`` is the service of the endpoint beside the node when it was started.
    ``max_hold_s`` bounds a hold of keys, ``stop_timeout_s`` is the time from SIGTERM
    until the process is killed.
    """

    name: str
    vm: str
    failure_domain: str
    region: str
    service: str
    endpoint_address: Address
    callers_address: Address
    peer_port: int
    ready_address: Address
    heartbeat_address: Address
    metrics_port: int
    store_url: str
    max_hold_s: float
    stop_timeout_s: float
