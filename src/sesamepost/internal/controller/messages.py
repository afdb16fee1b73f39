"""Questions that any daemon asks the controller for operators."""

from sesamepost.internal.wire.messages import message


@message(80)
class FleetQuery:
    """Asks which document versions each node has in force."""

    query: int


@message(81)
class FleetVersions:
    """Answers with a list of ``[vm, age in seconds, [[name, version], ...]]``."""

    query: int
    nodes: tuple
