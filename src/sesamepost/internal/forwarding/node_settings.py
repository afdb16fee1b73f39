"""Settings of a node, the process that runs beside an endpoint."""

from dataclasses import dataclass

from sesamepost.internal.wire.pool import Address


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The identity of a node, its addresses and its time limits.

    ``service`` is the service of the local endpoint when the node started.
    ``max_hold_s`` limits how long a hold lasts, ``heartbeat_interval_s`` is the time
    between two heartbeats of the endpoint, and ``stop_timeout_s`` is the time from
    SIGTERM until the process is killed. A process that uses more than ``memory_bytes``
    is killed, ``file_descriptors`` bounds its open files and sockets, and the link of
    its VM carries ``link_bytes_per_s`` in each direction.
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
    heartbeat_interval_s: float
    stop_timeout_s: float
    memory_bytes: int
    file_descriptors: int = 4096
    link_bytes_per_s: float = 125e6
