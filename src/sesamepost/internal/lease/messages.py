"""Messages of the lease protocol between holders, witnesses and the controller."""

from sesamepost.internal.identity import NodeId
from sesamepost.internal.wire.messages import message

# Reasons of ``RenewRefused``. The first two are permanent for this pair of
# incarnations. The third lasts until the witness reads a newer fleet document.
REFUSED_PROMISED = "promised"
REFUSED_OTHER_INCARNATION = "other_incarnation"
REFUSED_NOT_RECORDED = "not_recorded"


@message(20)
class Renew:
    """Asks a witness to renew the holder's lease.

    ``digest`` covers the versions of all documents of the sender.
    """

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
    """Refuses a ``Renew``; ``witness`` is copied from the request."""

    holder: NodeId
    witness: NodeId
    sequence: int
    reason: str


@message(23)
class Suspect:
    """Reports to the controller that a node's lease has expired at a witness."""

    node: NodeId
    witness: NodeId


@message(24)
class Promise:
    """Asks a witness never to renew ``node`` again.

    The controller needs the promise to fence the node at this fleet version.
    """

    node: NodeId
    witness: NodeId
    fleet_version: int


@message(25)
class Promised:
    """Confirms that the witness will never renew ``node`` again."""

    node: NodeId
    witness: NodeId
    fleet_version: int


@message(26)
class PromiseRefused:
    """Refuses a ``Promise``, since the node's lease may still be valid.

    The lease has not expired at the witness, or the witness does not know the node, or
    the request was meant for another incarnation of the witness.
    """

    node: NodeId
    witness: NodeId
    fleet_version: int
