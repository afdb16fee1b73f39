"""Queries that a daemon sends to the controller on behalf of an operator."""

from sesamepost.internal.wire.messages import message


@message(80)
class FleetQuery:
    """Asks for the document versions that are in force on each node."""

    query: int


@message(81)
class FleetVersions:
    """Answers a ``FleetQuery``.

    ``nodes`` is a list of ``[vm, age in seconds, [[name, version], ...]]``.
    """

    query: int
    nodes: tuple
