"""Messages between holders, witnesses and the controller."""

from sesamepost.internal.identity import NodeId
from sesamepost.internal.wire.messages import message

# Reasons of ``RenewRefused``. The first two are permanent for this pair of
# incarnations; the third ends when the witness has read a newer fleet document.
REFUSED_PROMISED = "promised"
REFUSED_OTHER_INCARNATION = "other_incarnation"
REFUSED_NOT_RECORDED = "not_recorded"


@message(20)
class Renew:
    """Asks a witness to renew; ``digest`` covers the versions of all documents."""

    holder: NodeId
    witness: NodeId
    sequence: int
    digest: bytes


@message(21)
class Renewed:
    """Confirms the ``Renew`` with this sequence number."""

    holder: NodeId
    witness: NodeId
    sequence: int
    digest: bytes


@message(22)
class RenewRefused:
    """Refuses a ``Renew``; ``witness`` is repeated from it."""

    holder: NodeId
    witness: NodeId
    sequence: int
    reason: str


@message(23)
class Suspect:
    """Reports to the controller that a node's expiry has passed."""

    node: NodeId
    witness: NodeId


@message(24)
class Promise:
    """Asks a witness never to renew ``node`` again, for a fencing at this version."""

    node: NodeId
    witness: NodeId
    fleet_version: int


@message(25)
class Promised:
    """The witness never renews ``node`` again."""

    node: NodeId
    witness: NodeId
    fleet_version: int


@message(26)
class PromiseRefused:
    """The witness does not know the node or its expiry has not passed."""

    node: NodeId
    witness: NodeId
    fleet_version: int
