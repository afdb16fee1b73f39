"""Mutual authentication of two daemons by their shared key when a stream opens.

Each side sends a ``Hello`` with a nonce and then a ``Proof``: an HMAC over its role,
both nonces and both identities. The role prevents a reflection attack, in which a proof
is sent back to the side that made it.
"""

import hashlib
import hmac
import secrets

from sesamepost.internal.identity import ANY_INCARNATION, NodeId
from sesamepost.internal.wire.messages import (
    PROTOCOL_VERSION,
    Hello,
    Proof,
    ProtocolError,
)

NONCE_BYTES = 16
HANDSHAKE_TIMEOUT_S = 2.0


class Handshake:
    """The state of one side of the handshake."""

    __slots__ = ("expected", "hello", "is_dialer", "key", "peer", "proven")

    def __init__(
        self,
        key: bytes,
        node: NodeId,
        is_dialer: bool,
        expected: NodeId | None,
        version: int = PROTOCOL_VERSION,
    ) -> None:
        self.key = key
        self.is_dialer = is_dialer
        self.expected = expected
        self.hello = Hello(version, node, secrets.token_bytes(NONCE_BYTES))
        self.peer: Hello | None = None
        self.proven = False

    def receive(self, item: Hello | Proof) -> Proof | None:
        """Process the peer's next message and return the proof to send, if any."""
        match item:
            case Hello() if self.peer is None:
                self._check_hello(item)
                self.peer = item
                return Proof(self._mac(self.is_dialer))
            case Proof() if self.peer is not None:
                if not hmac.compare_digest(item.mac, self._mac(not self.is_dialer)):
                    raise ProtocolError(
                        "the peer's proof does not match this daemon's key; "
                        "check both key files"
                    )
                self.proven = True
                return None
            case _:
                raise ProtocolError(
                    "unexpected message before the handshake was complete"
                )

    def _check_hello(self, hello: Hello) -> None:
        if hello.version != self.hello.version:
            raise ProtocolError(
                f"the peer uses protocol version {hello.version}, "
                f"this daemon uses version {self.hello.version}"
            )
        if len(hello.nonce) != NONCE_BYTES or hello.nonce == self.hello.nonce:
            raise ProtocolError(
                "the peer's nonce has the wrong length or repeats this daemon's"
            )
        expected = self.expected
        if expected is None or hello.node == expected:
            return
        if expected.incarnation != ANY_INCARNATION or hello.node.vm != expected.vm:
            raise ProtocolError(
                f"expected node {expected}, but connected to {hello.node}"
            )

    def _mac(self, by_dialer: bool) -> bytes:
        own, peer = self.hello, self.peer
        first, second = (own, peer) if self.is_dialer else (peer, own)
        role = b"dialer" if by_dialer else b"acceptor"
        text = b"|".join(
            [
                role,
                first.nonce,
                second.nonce,
                str(first.node).encode(),
                str(second.node).encode(),
            ]
        )
        return hmac.new(self.key, text, hashlib.sha256).digest()
