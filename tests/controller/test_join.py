"""The conditions under which a daemon asks to join the fleet."""

from structlog.testing import capture_logs

from sesamepost.internal.documents.replica import Replica
from sesamepost.internal.documents.views import ControllerRecord, Views
from sesamepost.internal.identity import NodeId
from sesamepost.internal.membership.fleet import Fleet, NodeRecord
from sesamepost.internal.membership.messages import Join
from sesamepost.internal.membership.task import Membership
from sesamepost.internal.wire.pool import Address

ADDRESS = Address("127.0.0.1", 1)
OWN = NodeRecord(NodeId("vm-1", 1), ADDRESS, "fd-1", "r-0")
OTHER = NodeRecord(NodeId("vm-0", 1), ADDRESS, "fd-0", "r-0")


class RecordingLink:
    """Records the messages sent to the controller."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


class PoolWithoutStreams:
    """A pool without streams, so that no renewal is sent."""

    def __init__(self):
        self.streams = {}

    def on(self, kind, handler):
        return None


def joins_of(controller, fleet):
    replica, link = Replica(), RecordingLink()
    membership = Membership(OWN, PoolWithoutStreams(), Views(replica), link, None)
    replica.offer("controller", 1, ControllerRecord(controller, ADDRESS).encode())
    if fleet is not None:
        replica.offer("fleet", 1, fleet.encode())
    membership.tick(1.0)
    return [message for message in link.sent if isinstance(message, Join)]


def test_a_node_without_the_fleet_document_does_not_join_without_witnesses():
    # Guards against a node with a lease that never expires, which cannot be fenced. It
    # would result from a controller document that arrives before the fleet document.
    assert joins_of(OTHER.node, None) == []
    (join,) = joins_of(OTHER.node, Fleet().join(OTHER))
    assert join.witnesses == (OTHER.node,)


def test_the_controller_of_a_new_fleet_joins_without_witnesses():
    # Guards against a new fleet that no node can be the first to join.
    (join,) = joins_of(OWN.node, None)
    assert join.witnesses == ()


def test_a_resigned_lease_is_logged_before_the_daemon_can_stop():
    # Guards against a log in which the end of a lease is missing unless a tick happens
    # between the resignation and the stop.
    replica = Replica()
    membership = Membership(
        OWN, PoolWithoutStreams(), Views(replica), RecordingLink(), None
    )
    replica.offer("fleet", 1, Fleet().join(OWN).encode())
    with capture_logs() as entries:
        membership.tick(1.0)
        membership.resign()
    assert [entry["event"] for entry in entries] == ["lease_valid", "lease_invalid"]
