"""Identities of nodes and hashes of keys."""

import hashlib
import secrets
from typing import NamedTuple

INCARNATION_BITS = 63
# Matches whichever daemon process currently runs on a VM.
ANY_INCARNATION = 0


class NodeId(NamedTuple):
    """One incarnation of a daemon: its VM name and a random number chosen at start.

    A restarted daemon has a different incarnation, so it is never mistaken for the
    previous process, which may have held leases or made commitments.
    """

    vm: str
    incarnation: int

    def __str__(self) -> str:
        return f"{self.vm}@{self.incarnation:016x}"


def new_node_id(vm: str) -> NodeId:
    """Return a new identity for a daemon that starts on ``vm``."""
    return NodeId(vm, secrets.randbits(INCARNATION_BITS))


def hash_key(key: str) -> int:
    """Return the 64-bit hash that determines the partition of ``key``."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
