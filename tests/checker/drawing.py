"""Draws the events of an order by a seed."""

from random import Random

from tests.checker.events import (
    AnswersLost,
    ConnectionsLimited,
    ConnectionsReset,
    ConnectionsSilent,
    EntryRemoved,
    Event,
    GrantsLate,
    HeartbeatsLate,
    HistoryForgotten,
    IdleClosed,
    KeysMoved,
    LinkCut,
    LongRequests,
    NodeFrozen,
    NodeKilled,
    NodeSlowed,
    NodeStopped,
    NodeStopsAtRead,
    OddHeartbeat,
    PeersApart,
    PortClosed,
    ReleasesLate,
    StoreDown,
    StoreFault,
    StoreRestored,
    WatchesLate,
    WorkerFrozen,
    WorkerKilled,
    WorkerLeaves,
)

# All keys have owners that hold them by then, if nothing happens.
FIRST_EVENT_S = 2.5
LAST_EVENT_S = 7.5
MAX_FAULT_S = 4.0
# Long enough for others to take the ranges of a node that is cut off or frozen.
LONG_FAULT_S = 11.0
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

    def restores(self) -> tuple[Event, ...]:
        """Return one or two returns of the store from older copies, by time.

        Keys change hands in the seconds that are lost, and around them.
        """
        random = self.random
        at, age_s = random.uniform(5.0, 9.0), random.choice((0.5, 3.0, 6.0))
        age_s = min(age_s * random.random(), at - 1.0)
        drawn: list[Event] = [StoreRestored(at, age_s, self._outage_s())]
        if random.random() < 0.3:
            again_at = (
                at + drawn[0].down_s + random.choice((0.3, 3.0)) * random.random()
            )
            drawn.append(StoreRestored(again_at, age_s * random.random(), 0.05))
        for _ in range(random.randint(0, 3)):
            moved_at = at - age_s * random.random()
            drawn.append(self._move(moved_at, random.randrange(self.nodes)))
        for _ in range(random.choice((0, 0, 1, 2))):
            lost_at = at - age_s * random.random() + random.choice((0.0, 0.0, 1.0))
            drawn.append(self._event(lost_at, random.randrange(self.nodes)))
        if random.random() < 0.3:
            # A takeover, or a new owner, that only the lost seconds know.
            drawn += self._long_cut(random.randrange(self.nodes))
        return tuple(sorted(drawn, key=lambda event: event.at))

    def _outage_s(self) -> float:
        return self.random.choice((0.05, 0.5, 3.0)) * self.random.random()

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
            StoreFault(at, -1, duration_s, "slow", 0.3),
            WatchesLate(at, node, duration_s, late_s),
            IdleClosed(at, node, duration_s, random.choice((0.2, 1.0))),
            ConnectionsLimited(at, node, duration_s, random.randint(1, 4)),
        ]
        return random.sample(found, random.choice((1, 1, 2)))

    def _pair(self, at: float, node: int) -> list[Event]:
        """Return events that meet each other."""
        random = self.random
        soon = at + random.choice((0.003, 0.05, 0.4)) * random.random()
        match random.randrange(13):
            case 0:
                return [self._move(at, node), self._kill(soon, node)]
            case 1:
                return self._kill_amid_late_grants(at, node)
            case 2:
                return self._long_cut(node)
            case 3:
                long_s = random.uniform(8.0, LONG_FAULT_S)
                return [NodeFrozen(FIRST_EVENT_S, node, long_s)]
            case 4:
                return self._unseen_removal(at, node)
            case 5:
                return self._unanswered_move(at, node)
            case 6:
                # The next life gets its predecessor's grants before its heartbeat.
                down_s = random.choice((0.0, 0.02))
                silent_s = random.uniform(0.5, 3.0)
                keeps_id = random.random() < 0.5
                return [WorkerKilled(at, node, down_s, keeps_id, 0.0, silent_s)]
            case 8:
                # Connections look open, though the process at their end has ended.
                silent_s = random.uniform(0.5, 3.0)
                next_life = WorkerKilled(soon, node, 0.0, True, 0.0, silent_s)
                return [ConnectionsSilent(at, node), next_life]
            case 9:
                late_s = random.uniform(0.1, 0.9)
                fault = GrantsLate(at, node, 3.0, late_s, 1.0)
                moves = [self._move(at + 3.0 * random.random(), node) for _ in "123"]
                return [fault, *moves]
            case 10 | 11:
                # The end of a hold is known by its length only.
                stops = [
                    NodeStopsAtRead(
                        at + 1.2 * i, node, random.randint(1, 24), 1.0, True
                    )
                    for i in range(2)
                ]
                move = self._move(at + random.uniform(1.2, 3.5), node)
                return [ReleasesLate(at, node, 8.0, None), *stops, move]
            case 7:
                closed = PortClosed(at, node, 3.0, True)
                stops = NodeStopsAtRead(soon, node, random.randint(1, 60), 1.0, False)
                return [closed, stops]
        closed = PortClosed(at, node, 3.0, True)
        return [closed, NodeStopped(soon, node, 1.0)]

    def _kill_amid_late_grants(self, at: float, node: int) -> list[Event]:
        """Kill a node whose grants are carried out after it has started again.

        Its worker then leaves, or the node moves keys.
        """
        random = self.random
        fault = GrantsLate(at, node, 1.5, random.uniform(0.5, 4.0), 1.0)
        kill = self._kill(at + 1.5, node)
        if random.random() < 0.5:
            leaves_at = kill.at - 0.3 * random.random()
            leave = WorkerLeaves(leaves_at, node, 4.0, 0.5, False, True)
            return [fault, kill, leave]
        move = self._move(kill.at + kill.down_s + random.random(), node)
        return [fault, kill, move]

    def _unseen_removal(self, at: float, node: int) -> list[Event]:
        """Remove the entry of a node that goes on and does not hear of that."""
        random = self.random
        found = [
            EntryRemoved(at, node),
            WatchesLate(at - 0.5, node, 6.0, 4.0 * random.random()),
        ]
        if random.random() < 0.5:
            found.append(StoreFault(at - 1.0, node, 4.0, "slow", random.random()))
        if random.random() < 0.3:
            found.append(NodeFrozen(at - 0.3 + random.random(), node, MAX_FAULT_S))
        if random.random() < 0.5:
            # The node loses the store before its watch shows the removal.
            lost_at = at + random.uniform(1.0, 4.0)
            found.append(StoreFault(lost_at, node, 6.0, "silent", 0.0))
        return found

    def _long_cut(self, node: int) -> list[Event]:
        """Cut a node off the store until others have taken its ranges."""
        random = self.random
        long_s = random.uniform(8.0, LONG_FAULT_S)
        how = random.choice(("rejecting", "silent", "answers lost"))
        fault = StoreFault(FIRST_EVENT_S, node, long_s, how, 1.0)
        end = FIRST_EVENT_S + long_s
        return [fault, WatchesLate(end - 0.5, node, 3.0, random.random())]

    def _unanswered_move(self, at: float, node: int) -> list[Event]:
        """Let the target of a move vanish while its write is unanswered."""
        random = self.random
        how = random.choice(("answers lost", "late"))
        fault = StoreFault(at, node, 0.5, how, 4.0 * random.random())
        move = self._move(at + 0.1, node)
        found = [fault, move]
        if random.random() < 0.5:
            found.append(EntryRemoved(at + 0.2, move.target))
        return found

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
