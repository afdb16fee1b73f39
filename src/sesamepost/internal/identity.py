"""Names of nodes and hashes of keys."""

import hashlib
import secrets
from typing import NamedTuple

INCARNATION_BITS = 63
# Stands for whichever process runs on a VM at the moment.
ANY_INCARNATION = 0


class NodeId(NamedTuple):
    """One run of a daemon: the name of its VM and a number chosen at start.

    A restarted daemon has another incarnation, so it is never taken for the process
    that held leases or made promises before.
    """

    vm: str
    incarnation: int

    def __str__(self) -> str:
        return f"{self.vm}@{self.incarnation:016x}"


def new_node_id(vm: str) -> NodeId:
    """Return the identity of a daemon that starts now on ``vm``."""
    return NodeId(vm, secrets.randbits(INCARNATION_BITS))


def hash_key(key: str) -> int:
    """Return the 64-bit hash that decides the partition of ``key``."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
