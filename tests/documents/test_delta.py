"""Deltas and the replica must never accept a wrong base or an old version."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sesamepost.internal.documents.delta import (
    BLOCK_BYTES,
    DeltaMismatchError,
    apply_push,
    delta_push,
)
from sesamepost.internal.documents.replica import Replica

documents = st.binary(max_size=6 * BLOCK_BYTES)


@settings(derandomize=True)
@given(base=documents, changed=documents)
def test_applying_a_delta_gives_the_new_document(base, changed):
    # Guards against lost blocks when the document grows or shrinks.
    push = delta_push("d", 2, changed, 1, base)
    assert apply_push(push, 1, base) == changed


def test_one_changed_block_is_sent_alone():
    # Guards against sending 40 KB to each neighbour when one partition moves.
    base = bytes(160 * BLOCK_BYTES)
    changed = bytearray(base)
    changed[70 * BLOCK_BYTES + 3] = 1
    push = delta_push("d", 2, bytes(changed), 1, base)
    assert [index for index, _ in push.blocks] == [70]


def test_a_delta_against_another_version_is_refused():
    # Guards against a document that mixes two versions after a lost push.
    base = bytes(20 * BLOCK_BYTES)
    push = delta_push("d", 3, b"\1" + base[1:], 2, base)
    with pytest.raises(DeltaMismatchError, match="version 1 is held"):
        apply_push(push, 1, base)


def test_a_delta_on_a_different_base_of_the_same_version_is_refused():
    # Guards against a wrong result when two daemons hold different bodies of the same
    # version.
    base = bytes(20 * BLOCK_BYTES)
    other = bytes(19 * BLOCK_BYTES) + b"\2" * BLOCK_BYTES
    push = delta_push("d", 3, b"\1" + base[1:], 2, base)
    with pytest.raises(DeltaMismatchError, match="checksum"):
        apply_push(push, 2, other)


def test_a_replica_never_reverts_to_an_older_version():
    # Guards against settings that revert when an old push arrives late.
    replica = Replica()
    seen = []
    replica.changes.subscribe(lambda change: seen.append(change.current.version))
    assert replica.offer("settings/a", 5, b"new")
    digest = replica.digest
    assert not replica.offer("settings/a", 4, b"old")
    assert not replica.offer("settings/a", 5, b"other")
    assert replica.documents["settings/a"].body == b"new"
    assert (seen, replica.digest) == ([5], digest)
