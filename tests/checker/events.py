"""What may happen to a fleet.

The pages of the platform are the bounds: no event here is one that they exclude. Times
are in seconds of the order. A node and the worker on its machine have the same index.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NodeKilled:
    """A node's process is killed and starts again after ``down_s``.

    What it has sent to the store is carried out ``late_s`` later.
    """

    at: float
    node: int
    down_s: float
    late_s: float


@dataclass(frozen=True, slots=True)
class NodeStopped:
    """A node gets SIGTERM, hands its keys over, ends and starts again."""

    at: float
    node: int
    down_s: float


@dataclass(frozen=True, slots=True)
class NodeFrozen:
    """A node's process stands still between two turns of its event loop."""

    at: float
    node: int
    duration_s: float


@dataclass(frozen=True, slots=True)
class NodeStopsAtRead:
    """A node stands still right after the given number of readings of its clock.

    It is a freeze, or with ``is_slow`` a turn that takes long.
    """

    at: float
    node: int
    reads: int
    duration_s: float
    is_slow: bool


@dataclass(frozen=True, slots=True)
class NodeSlowed:
    """Each turn of a node's event loop takes ``turn_s``."""

    at: float
    node: int
    duration_s: float
    turn_s: float


@dataclass(frozen=True, slots=True)
class WorkerKilled:
    """A worker crashes; its next life starts after ``down_s``, never if it is None.

    The next life has the same id if ``keeps_id``; its start time is ``clock_step_s``
    later or earlier than the true one. Its first heartbeat comes after ``silent_s``.
    """

    at: float
    node: int
    down_s: float | None
    keeps_id: bool
    clock_step_s: float
    silent_s: float


@dataclass(frozen=True, slots=True)
class WorkerFrozen:
    """A worker's process stands still."""

    at: float
    node: int
    duration_s: float


@dataclass(frozen=True, slots=True)
class WorkerLeaves:
    """A worker reports that it leaves, serves on for ``serves_s`` and exits.

    With ``sends_leave`` it sends only the leave message, before it serves on.
    """

    at: float
    node: int
    serves_s: float
    down_s: float | None
    sends_leave: bool
    keeps_id: bool


@dataclass(frozen=True, slots=True)
class GrantsLate:
    """A worker carries out grants ``late_s`` after their arrival, without an answer.

    That happens to the given share of them.
    """

    at: float
    node: int
    duration_s: float
    late_s: float
    share: float


@dataclass(frozen=True, slots=True)
class AnswersLost:
    """A worker carries out commands and answers none, or answers them late."""

    at: float
    node: int
    duration_s: float
    late_s: float | None


@dataclass(frozen=True, slots=True)
class ReleasesLate:
    """Releases are answered late, or with ``late_s`` of None never reach the worker."""

    at: float
    node: int
    duration_s: float
    late_s: float | None


@dataclass(frozen=True, slots=True)
class LinkCut:
    """Nothing passes between a node and its worker; what is sent arrives later."""

    at: float
    node: int
    duration_s: float


@dataclass(frozen=True, slots=True)
class ConnectionsSilent:
    """The open connections to a worker go silent for good, while new ones work."""

    at: float
    node: int


@dataclass(frozen=True, slots=True)
class ConnectionsReset:
    """The open connections to a worker are reset."""

    at: float
    node: int


@dataclass(frozen=True, slots=True)
class PortClosed:
    """A worker that lives refuses new connections.

    With ``resets_open`` its open connections are reset as well.
    """

    at: float
    node: int
    duration_s: float
    resets_open: bool


@dataclass(frozen=True, slots=True)
class ConnectionsLimited:
    """A worker resets all connections beyond ``most``."""

    at: float
    node: int
    duration_s: float
    most: int


@dataclass(frozen=True, slots=True)
class IdleClosed:
    """A worker closes connections that are idle for ``idle_s``."""

    at: float
    node: int
    duration_s: float
    idle_s: float


@dataclass(frozen=True, slots=True)
class HeartbeatsLate:
    """The heartbeats of a worker arrive ``late_s`` late, without their answers."""

    at: float
    node: int
    duration_s: float
    late_s: float


@dataclass(frozen=True, slots=True)
class OddHeartbeat:
    """Another service sends a heartbeat with the address of a worker."""

    at: float
    node: int


@dataclass(frozen=True, slots=True)
class StoreFault:
    """The calls of a node to the store fail in the way that ``how`` names.

    The node with index -1 stands for all of them. ``late_s`` is used by those that
    are carried out late.
    """

    at: float
    node: int
    duration_s: float
    how: str
    late_s: float


@dataclass(frozen=True, slots=True)
class WatchesLate:
    """The watch of a node lags, while its other calls are answered."""

    at: float
    node: int
    duration_s: float
    late_s: float


@dataclass(frozen=True, slots=True)
class StoreDown:
    """The store is down; leases pause or expire meanwhile."""

    at: float
    duration_s: float
    leases_pause: bool


@dataclass(frozen=True, slots=True)
class StoreRestored:
    """The store is down and comes back from a copy taken ``age_s`` before that.

    Its answers state eras from the beginning of the order, if it has such an event.
    """

    at: float
    age_s: float
    down_s: float


@dataclass(frozen=True, slots=True)
class EntryRemoved:
    """The store removes the entry of a node, whose lease goes on."""

    at: float
    node: int


@dataclass(frozen=True, slots=True)
class HistoryForgotten:
    """The store drops its history, and cuts the watches if ``cuts_watches``."""

    at: float
    cuts_watches: bool


@dataclass(frozen=True, slots=True)
class KeysMoved:
    """A node hands a part of its keys over, as its balancer would.

    The part begins at the share ``begin`` of one of its ranges and has the share
    ``part`` of it.
    """

    at: float
    node: int
    target: int
    begin: float
    part: float


@dataclass(frozen=True, slots=True)
class PeersApart:
    """Messages between nodes are lost."""

    at: float
    duration_s: float


@dataclass(frozen=True, slots=True)
class LongRequests:
    """Callers send requests that take ``work_s``."""

    at: float
    duration_s: float
    work_s: float


Event = (
    NodeKilled
    | NodeStopped
    | NodeFrozen
    | NodeStopsAtRead
    | NodeSlowed
    | WorkerKilled
    | WorkerFrozen
    | WorkerLeaves
    | GrantsLate
    | AnswersLost
    | ReleasesLate
    | LinkCut
    | ConnectionsSilent
    | ConnectionsReset
    | PortClosed
    | ConnectionsLimited
    | IdleClosed
    | HeartbeatsLate
    | OddHeartbeat
    | StoreFault
    | WatchesLate
    | StoreDown
    | StoreRestored
    | EntryRemoved
    | HistoryForgotten
    | KeysMoved
    | PeersApart
    | LongRequests
)
