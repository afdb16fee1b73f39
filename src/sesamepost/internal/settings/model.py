"""Typed objects for validated settings."""

from dataclasses import dataclass, field
from enum import StrEnum

from sesamepost.internal.wire.pool import Address


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """What one daemon needs to know before it can reach any other process.

    ``seeds`` are peer addresses of other daemons; ``store_url`` is the base URL of the
    platform's store.
    """

    vm: str
    failure_domain: str
    region: str
    callers: Address
    peers: Address
    operators: Address
    endpoints: Address
    peers_key: bytes
    seeds: tuple[Address, ...]
    store_url: str
    stop_timeout_s: float = 30.0


class RestartPolicy(StrEnum):
    """What happens to a VM's partitions on a planned stop of its daemon."""

    MOVE = "move"
    WAIT = "wait"


class VmState(StrEnum):
    """The state that operators request for a VM.

    The two drained states are separate so that the end of a deploy does not put a VM
    back in service that somebody else drained for maintenance.
    """

    IN_SERVICE = "in_service"
    DRAINED_FOR_DEPLOY = "drained_for_deploy"
    DRAINED_FOR_MAINTENANCE = "drained_for_maintenance"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class Weights:
    """A team's relative weights of the three planning criteria, each 0 or more."""

    imbalance: float = 1.0
    churn: float = 1.0
    unavailable: float = 1.0


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """A request class of a service; ``weight`` is its relative share of the slots."""

    name: str
    weight: int = 1


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """The routing settings of a service.

    ``partitions`` is a power of two and can't change once the service exists.
    ``retry_percent`` limits the retries to this percentage of the requests.
    """

    name: str
    partitions: int = 512
    timeout_ms: int = 5000
    slots: int = 6
    connections: int = 110
    queue_length: int = 256
    retry_percent: int = 10
    classes: tuple[ClassSettings, ...] = (ClassSettings("default"),)


@dataclass(frozen=True, slots=True)
class TeamBranch:
    """One team's branch of the settings tree, validated as a whole."""

    team: str
    weights: Weights = Weights()
    restart: RestartPolicy = RestartPolicy.MOVE
    restart_wait_s: float = 30.0
    max_moves_per_round: int = 16
    services: dict[str, ServiceSettings] = field(default_factory=dict)
    vms: dict[str, VmState] = field(default_factory=dict)
