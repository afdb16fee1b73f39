"""Messages to the controller that change the fleet document."""

from sesamepost.internal.identity import NodeId
from sesamepost.internal.wire.messages import ProtocolError, message


@message(40)
class Join:
    """Asks for a record; ``witnesses`` is the proposal number ``witness_sequence``."""

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
    """Proposes another witness set; the record keeps the highest number."""

    node: NodeId
    witnesses: tuple
    witness_sequence: int

    def __post_init__(self) -> None:
        object.__setattr__(self, "witnesses", _node_ids(self.witnesses))


@message(42)
class Leave:
    """Tells that a node stops as planned."""

    node: NodeId


@message(43)
class Resign:
    """Tells that a node has stopped serving for good and may be fenced at once."""

    node: NodeId


def _node_ids(values) -> tuple[NodeId, ...]:
    """Return decoded or given node ids as ``NodeId``."""
    node_ids = []
    for value in values:
        match value:
            case [str() as vm, int() as incarnation]:
                node_ids.append(NodeId(vm, incarnation))
            case _:
                raise ProtocolError("a witness must be a name and a number")
    if len(set(node_ids)) != len(node_ids):
        raise ProtocolError("a witness is named twice")
    return tuple(node_ids)
