"""Bounds of values that other processes write, checked where they are decoded."""

from typing import Annotated

from msgspec import Meta

MAX_PORT = 65535
# The largest whole number that JSON and msgpack readers of other languages keep exact.
MAX_COUNT = (1 << 53) - 1
MAX_SLOTS = 100_000
MAX_NAME_LENGTH = 256

Port = Annotated[int, Meta(ge=1, le=MAX_PORT)]
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
# A random number of up to 63 bits.
Incarnation = Annotated[int, Meta(ge=0)]
Slots = Annotated[int, Meta(ge=0, le=MAX_SLOTS)]
Name = Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]
IpAddress = Annotated[str, Meta(pattern=r"^[0-9A-Fa-f.:]{2,45}$")]
