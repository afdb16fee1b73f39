"""Limits on the memory that a peer can make ``FragmentAssembler`` use."""

import pytest

from sesamepost.internal.wire.frames import (
    FRAGMENT_BYTES,
    MAX_MESSAGE_BYTES,
    FragmentAssembler,
)
from sesamepost.internal.wire.messages import Fragment, ProtocolError

FULL = b"x" * FRAGMENT_BYTES


def count_accepted_fragments(fragments):
    """Return how many fragments are accepted; fail if none is refused."""
    assembler = FragmentAssembler()
    for count, fragment in enumerate(fragments):
        try:
            assembler.add(fragment)
        except ProtocolError:
            return count
    pytest.fail("no fragment was refused")


@pytest.mark.parametrize("data", [b"", b"x"])
def test_small_fragments_of_one_message_are_bounded(data):
    # Guards against unbounded memory and time for many fragments whose total size stays
    # below the limit in bytes.
    assert count_accepted_fragments([Fragment(1, False, data)] * 1000) < 1000


def test_unfinished_messages_are_bounded_below_64_mib():
    # Guards against 64 incomplete messages of 9 MiB each on one stream.
    count = 64 * MAX_MESSAGE_BYTES // FRAGMENT_BYTES
    fragments = (Fragment(number % 60, False, FULL) for number in range(count))
    assert count_accepted_fragments(fragments) * len(FULL) < 64 << 20


def test_assembler_frees_finished_messages():
    # Guards against a byte count that never decreases, which would close healthy
    # streams.
    assembler = FragmentAssembler()
    for number in range(100):
        assert assembler.add(Fragment(number, False, FULL)) is None
        assert assembler.add(Fragment(number, True, FULL * 8)) == FULL * 9
    assert (assembler.total_bytes, assembler.parts, assembler.sizes) == (0, {}, {})
