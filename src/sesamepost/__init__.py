"""A router for servers that each own their keys exclusively.

Each VM that hosts an endpoint runs one ``sesamepostd``. A request that reaches any of
them is forwarded to the daemon beside the endpoint that owns its key.
"""

from sesamepost.errors import ErrorKind, Outcome, RouterError

__all__ = ["ErrorKind", "Outcome", "RouterError"]
__version__ = "0.1.0"
