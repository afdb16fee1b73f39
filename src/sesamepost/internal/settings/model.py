"""The settings as typed objects, after they were checked."""

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
    """What happens to a VM's partitions when its daemon stops as planned."""

    MOVE = "move"
    WAIT = "wait"


class VmState(StrEnum):
    """What the operators want of a VM.

    The two drained states are kept apart so that a deploy does not put a VM back that
    somebody else took out for maintenance.
    """

    IN_SERVICE = "in_service"
    DRAINED_FOR_DEPLOY = "drained_for_deploy"
    DRAINED_FOR_MAINTENANCE = "drained_for_maintenance"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class Weights:
    """How a team weighs the three measures against each other (each 0 or more)."""

    imbalance: float = 1.0
    churn: float = 1.0
    unavailable: float = 1.0


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """A class of requests of one service; ``weight`` is its share of the slots."""

    name: str
    weight: int = 1


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """How one service is routed.

    ``partitions`` is a power of two and fixed once the service exists.
    ``retry_percent`` bounds the retries in percent of the requests.
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
    """One team's branch of the settings tree, checked as a whole."""

    team: str
    weights: Weights = Weights()
    restart: RestartPolicy = RestartPolicy.MOVE
    restart_wait_s: float = 30.0
    max_moves_per_round: int = 16
    services: dict[str, ServiceSettings] = field(default_factory=dict)
    vms: dict[str, VmState] = field(default_factory=dict)
