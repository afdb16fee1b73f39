"""What may happen to a fleet, drawn by a seed.

The pages of the platform are the bounds: no event here is one that they exclude. Times
are in seconds of the order. A node and the worker on its machine have the same index.
"""

from dataclasses import dataclass
from random import Random

# All keys have owners that hold them by then, if nothing happens.
FIRST_EVENT_S = 2.5
LAST_EVENT_S = 7.5
MAX_FAULT_S = 4.0
# Long enough for others to take the ranges of a node that is cut off or frozen.
LONG_FAULT_S = 10.0


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
    """A worker answers releases late, or with ``late_s`` of None never."""

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
    | EntryRemoved
    | HistoryForgotten
    | KeysMoved
    | PeersApart
    | LongRequests
)

STORE_FAULTS = ("refused", "rejecting", "silent", "answers lost", "late", "slow")


class EventDraw:
    """Draws events for a fleet of ``nodes`` nodes.

    Most faults of ownership need several things at once on one machine. So events come
    in groups around one machine, some of them in pairs that meet each other, and some
    conditions last for most of the order.
    """

    def __init__(self, random: Random, nodes: int) -> None:
        self.random = random
        self.nodes = nodes

    def events(self) -> tuple[Event, ...]:
        """Return the events of one order, by time."""
        random = self.random
        drawn: list[Event] = []
        for _ in range(random.choice((1, 1, 2, 3))):
            drawn += self._group()
        if random.random() < 0.5:
            drawn += self._conditions(random.randrange(self.nodes))
        for _ in range(random.choice((0, 1, 3, 6))):
            drawn.append(self._move(self._time(), random.randrange(self.nodes)))
        return tuple(sorted(drawn, key=lambda event: event.at))

    def _time(self) -> float:
        return self.random.uniform(FIRST_EVENT_S, LAST_EVENT_S)

    def _group(self) -> list[Event]:
        """Return events within a short time, mostly on one machine."""
        random = self.random
        focus, begin = random.randrange(self.nodes), self._time()
        span_s = random.choice((0.1, 1.0, 3.0))
        drawn: list[Event] = []
        for _ in range(random.randint(1, 4)):
            is_focus = random.random() < 0.75
            node = focus if is_focus else random.randrange(self.nodes)
            at = begin + random.random() * span_s
            drawn += self._pair(at, node) if random.random() < 0.4 else []
            drawn.append(self._event(at, node))
        return drawn

    def _conditions(self, node: int) -> list[Event]:
        """Return conditions that last for most of the order."""
        random = self.random
        at, duration_s = FIRST_EVENT_S, random.uniform(4.0, 8.0)
        late_s = random.choice((0.5, 2.0, 4.0)) * random.random()
        found = [
            GrantsLate(at, node, duration_s, late_s, random.choice((0.1, 0.5))),
            HeartbeatsLate(at, node, duration_s, late_s),
            LongRequests(at, duration_s, random.choice((0.2, 1.0, 3.0))),
            StoreFault(at, -1, duration_s, "slow", 0.0),
            WatchesLate(at, node, duration_s, late_s),
            IdleClosed(at, node, duration_s, random.choice((0.2, 1.0))),
            ConnectionsLimited(at, node, duration_s, random.randint(1, 4)),
        ]
        return random.sample(found, random.choice((1, 1, 2)))

    def _pair(self, at: float, node: int) -> list[Event]:
        """Return events that meet each other."""
        random = self.random
        soon = at + random.choice((0.003, 0.05, 0.4)) * random.random()
        match random.randrange(7):
            case 0:
                return [self._move(at, node), self._kill(soon, node)]
            case 1:
                fault = GrantsLate(at, node, 1.0, 4.0 * random.random(), 1.0)
                return [fault, self._kill(soon + 1.0, node)]
            case 2:
                long_s = random.uniform(6.0, LONG_FAULT_S)
                how = random.choice(STORE_FAULTS[1:4])
                fault = StoreFault(FIRST_EVENT_S, node, long_s, how, 1.0)
                end = FIRST_EVENT_S + long_s
                return [fault, WatchesLate(end - 0.5, node, 3.0, random.random())]
            case 3:
                return [
                    NodeFrozen(FIRST_EVENT_S, node, random.uniform(6.0, LONG_FAULT_S))
                ]
            case 4:
                lag_s = 4.0 * random.random()
                return [EntryRemoved(at, node), WatchesLate(at - 0.5, node, 6.0, lag_s)]
            case 5:
                how = random.choice(("answers lost", "late"))
                late_s = 4.0 * random.random()
                fault = StoreFault(at, node, 1.0 + random.random(), how, late_s)
                return [fault, self._move(soon, node)]
        closed = PortClosed(at, node, 3.0, True)
        return [closed, NodeStopped(soon, node, 1.0)]

    def _event(self, at: float, node: int) -> Event:
        random = self.random
        duration_s = random.choice((0.3, 1.0, 2.0, MAX_FAULT_S)) * random.random()
        kind = random.choices((1, 2, 3, 4), weights=(5, 5, 3, 4))[0]
        match kind:
            case 1:
                return self._node_event(at, node, duration_s)
            case 2:
                return self._worker_event(at, node, duration_s)
            case 3:
                return self._link_event(at, node, duration_s)
        return self._shared_event(at, node, duration_s)

    def _kill(self, at: float, node: int) -> Event:
        random = self.random
        down_s = random.choice((0.05, 0.5, 3.0)) * random.random()
        late_s = random.choice((0.0, 1.0, 3.0)) * random.random()
        return NodeKilled(at, node, down_s, late_s)

    def _node_event(self, at: float, node: int, duration_s: float) -> Event:
        random = self.random
        match random.randrange(8):
            case 0 | 1:
                return self._kill(at, node)
            case 2:
                return NodeStopped(at, node, random.choice((0.05, 2.0)))
            case 3:
                return NodeFrozen(at, node, duration_s)
            case 4 | 5 | 6:
                is_slow = random.random() < 0.5
                stop_s = min(duration_s, 1.0 if is_slow else MAX_FAULT_S)
                return NodeStopsAtRead(at, node, random.randint(1, 60), stop_s, is_slow)
        return NodeSlowed(at, node, duration_s, random.choice((0.002, 0.01, 0.04)))

    def _worker_event(self, at: float, node: int, duration_s: float) -> Event:
        random = self.random
        down_s = random.choice((0.0, 0.02, 0.5, 2.0, None))
        keeps_id = random.random() < 0.5
        late_s = random.choice((0.5, 2.0, 4.0)) * random.random()
        match random.randrange(10):
            case 0 | 1 | 2:
                step_s = random.choice((0.0, 0.0, -20.0, 3.0))
                silent_s = random.choice((0.0, 0.5, 3.0)) * random.random()
                return WorkerKilled(at, node, down_s, keeps_id, step_s, silent_s)
            case 3:
                return WorkerFrozen(at, node, duration_s)
            case 4:
                serves_s = random.choice((0.3, 2.5))
                sends_leave = random.random() < 0.5
                return WorkerLeaves(at, node, serves_s, down_s, sends_leave, keeps_id)
            case 5:
                share = random.choice((0.1, 0.5, 1.0))
                return GrantsLate(at, node, duration_s, late_s, share)
            case 6:
                late_s = random.choice((0.3, 1.5, None))
                return AnswersLost(at, node, duration_s, late_s)
            case 7:
                return ReleasesLate(at, node, duration_s, random.choice((0.5, None)))
            case 8:
                return HeartbeatsLate(at, node, duration_s, late_s)
        return OddHeartbeat(at, node)

    def _link_event(self, at: float, node: int, duration_s: float) -> Event:
        random = self.random
        match random.randrange(6):
            case 0:
                return LinkCut(at, node, duration_s)
            case 1:
                return ConnectionsSilent(at, node)
            case 2:
                return ConnectionsReset(at, node)
            case 3:
                return PortClosed(at, node, duration_s, random.random() < 0.5)
            case 4:
                return ConnectionsLimited(at, node, duration_s, random.randint(1, 4))
        return IdleClosed(at, node, duration_s, random.choice((0.2, 1.0)))

    def _shared_event(self, at: float, node: int, duration_s: float) -> Event:
        random = self.random
        late_s = random.choice((0.5, 2.0, 4.0)) * random.random()
        match random.randrange(9):
            case 0 | 1 | 2:
                how = random.choice(STORE_FAULTS)
                whom = -1 if random.random() < 0.2 else node
                return StoreFault(at, whom, duration_s, how, late_s)
            case 3:
                return StoreDown(at, duration_s, random.random() < 0.5)
            case 4:
                return EntryRemoved(at, node)
            case 5:
                return HistoryForgotten(at, random.random() < 0.5)
            case 6:
                return PeersApart(at, duration_s)
            case 7:
                return WatchesLate(at, node, duration_s, late_s)
        return LongRequests(at, duration_s, random.choice((0.2, 1.0, 3.0)))

    def _move(self, at: float, node: int) -> Event:
        target = (node + self.random.randrange(1, self.nodes)) % self.nodes
        begin = self.random.choice((0.0, self.random.random()))
        return KeysMoved(at, node, target, begin, self.random.random())
