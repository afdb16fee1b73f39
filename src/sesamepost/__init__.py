"""A router for servers that each own their keys exclusively.

Each VM that hosts an endpoint runs one ``sesamepostd`` daemon. A request may be sent to
any daemon; it is forwarded to the one on the VM of the endpoint that owns its key.
"""

from sesamepost.errors import ErrorKind, Outcome, RouterError

__all__ = ["ErrorKind", "Outcome", "RouterError"]
__version__ = "0.1.0"
