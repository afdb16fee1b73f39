"""Requests to the controller that change the fleet document."""

from sesamepost.internal.identity import NodeId
from sesamepost.internal.wire.messages import ProtocolError, message


@message(40)
class Join:
    """Asks for a record in the fleet.

    ``witnesses`` is the proposal with the sequence number ``witness_sequence``.
    """

    node: NodeId
    host: str
    port: int
    failure_domain: str
    region: str
    witnesses: tuple
    witness_sequence: int

    def __post_init__(self) -> None:
        object.__setattr__(self, "witnesses", _node_ids(self.witnesses))


@message(41)
class ChangeWitnesses:
    """Proposes another witness set; the one with the highest sequence is recorded."""

    node: NodeId
    witnesses: tuple
    witness_sequence: int

    def __post_init__(self) -> None:
        object.__setattr__(self, "witnesses", _node_ids(self.witnesses))


@message(42)
class Leave:
    """Reports that a node has begun a planned stop."""

    node: NodeId


@message(43)
class Resign:
    """Reports that a node has stopped serving for good and may be fenced at once."""

    node: NodeId


def _node_ids(values) -> tuple[NodeId, ...]:
    """Convert decoded or given node ids to ``NodeId``.

    Raises ``ProtocolError`` for malformed or duplicate ids.
    """
    node_ids = []
    for value in values:
        match value:
            case [str() as vm, int() as incarnation]:
                node_ids.append(NodeId(vm, incarnation))
            case _:
                raise ProtocolError("a witness must be a VM name and an incarnation")
    if len(set(node_ids)) != len(node_ids):
        raise ProtocolError("the list of witnesses has duplicates")
    return tuple(node_ids)
