"""The messages that daemons exchange, and their encoding.

A message travels as a msgpack array whose first element is the type number. Numbers
are never reused for another message.
"""

from dataclasses import dataclass, fields
from operator import attrgetter
from typing import Any, get_type_hints

import msgpack

from sesamepost.internal.identity import NodeId

PROTOCOL_VERSION = 1
# All bytes after the handshake are compressed.
COMPRESSED_VERSION = 2


class ProtocolError(Exception):
    """A peer sent bytes that are not a valid message."""


def message(number: int):
    """Register a frozen data class as the message with this type number."""

    def register(cls):
        cls = dataclass(frozen=True, slots=True)(cls)
        if number in _CODECS:
            raise ValueError(f"message number {number} is taken twice")
        codec = _Codec(cls, number)
        _CODECS[number] = codec
        _CODEC_OF[cls] = codec
        return cls

    return register


class _Codec:
    """Converts one class of messages to and from an array."""

    __slots__ = (
        "array_length",
        "cls",
        "field_types",
        "node_id_indexes",
        "number",
        "values",
    )

    def __init__(self, cls: type, number: int) -> None:
        hints = get_type_hints(cls)
        names = [field.name for field in fields(cls)]
        field_types = [
            getattr(hints[name], "__origin__", hints[name]) for name in names
        ]
        self.cls = cls
        self.number = number
        self.array_length = len(names) + 1
        self.node_id_indexes = [
            i for i, field_type in enumerate(field_types) if field_type is NodeId
        ]
        self.field_types = tuple(
            list if field_type in (NodeId, tuple) else field_type
            for field_type in field_types
        )
        if len(names) == 1:
            getter = attrgetter(names[0])
            self.values = lambda item: (getter(item),)
        else:
            self.values = attrgetter(*names)

    def decode(self, array: list) -> Any:
        values = array[1:]
        for value, field_type in zip(values, self.field_types, strict=True):
            if not isinstance(value, field_type):
                raise ProtocolError(
                    f"{self.cls.__name__} has {type(value).__name__} "
                    f"where {field_type.__name__} is expected"
                )
        for index in self.node_id_indexes:
            values[index] = _decode_node_id(values[index])
        return self.cls(*values)


_CODECS: dict[int, _Codec] = {}
_CODEC_OF: dict[type, _Codec] = {}


def _decode_node_id(value: list) -> NodeId:
    match value:
        case [str() as vm, int() as incarnation]:
            return NodeId(vm, incarnation)
        case _:
            raise ProtocolError("a node id must be a name and a number")


def encode(item: Any) -> bytes:
    """Return the msgpack bytes of a message."""
    codec = _CODEC_OF[type(item)]
    return msgpack.packb(
        (codec.number, *codec.values(item)), unicode_errors="surrogateescape"
    )


def decode(data: bytes) -> Any:
    """Return the message in ``data``; raise ``ProtocolError`` if it is invalid."""
    try:
        array = msgpack.unpackb(data, unicode_errors="surrogateescape")
    except Exception as error:
        # Malformed input can raise any of several unrelated exception types.
        raise ProtocolError(f"not msgpack: {error}") from None
    if not isinstance(array, list) or not array or not isinstance(array[0], int):
        raise ProtocolError("a message must be an array that begins with its number")
    codec = _CODECS.get(array[0])
    if codec is None:
        raise ProtocolError(f"unknown message number {array[0]}")
    if len(array) != codec.array_length:
        raise ProtocolError(
            f"{codec.cls.__name__} has {len(array) - 1} fields, "
            f"{codec.array_length - 1} are expected"
        )
    return codec.decode(array)


@message(1)
class Hello:
    """Opens a stream in each direction."""

    version: int
    node: NodeId
    nonce: bytes


@message(2)
class Proof:
    """Proves knowledge of the peers' key for the nonces of both sides."""

    mac: bytes


@message(3)
class Ping:
    """Asks the peer to show that the stream still carries messages."""

    nonce: int


@message(4)
class Pong:
    """Answers a ``Ping``."""

    nonce: int


@message(5)
class Fragment:
    """A part of a large message, so that it does not delay others on the stream."""

    sequence: int
    last: bool
    data: bytes


@message(10)
class Request:
    """A caller's request on its way to the owner of its key.

    ``timeout_ms`` is the time that remains. ``idempotency_key``, ``born`` and
    ``class_name`` are empty if the caller gave none.
    """

    id: int
    service: str
    key: str
    method: str
    target: str
    headers: tuple
    body: bytes
    timeout_ms: int
    repeatable: bool
    idempotency_key: str
    born: str
    class_name: str


@message(11)
class Answer:
    """An endpoint's complete answer; ``replayed`` if it was kept from an earlier run.

    ``headers`` is a list of pairs of strings.
    """

    id: int
    status: int
    headers: tuple
    body: bytes
    replayed: bool


@message(12)
class Refusal:
    """An error of the owner's daemon, with its version of the assignment."""

    id: int
    kind: str
    detail: str
    assignment_version: int


@message(13)
class Cancel:
    """Tells the owner that nobody waits for the answer any more."""

    id: int
