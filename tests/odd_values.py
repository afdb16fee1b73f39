"""Variants of valid data with one odd value, as another writer might leave them."""

import copy

from hypothesis import strategies as st

HUGE = 1 << 63
DEPTH = 100_000
ODD_VALUES = st.one_of(
    st.sampled_from(
        [
            None,
            True,
            -1,
            0,
            HUGE,
            2 * HUGE - 1,
            1e300,
            1.5,
            "",
            "x",
            "9",
            "a\0b",
            "y" * 999,
        ]
    ),
    st.sampled_from([[], {}, [[]], [None], {"a": 1}, [1, 2, 3, 4, 5]]),
    st.integers(-(1 << 63), (1 << 64) - 1),
    st.text(max_size=5),
)


def paths(value, path=()) -> list[tuple]:
    """Return the path of each value inside nested maps and lists, without the root."""
    match value:
        case dict():
            items = list(value.items())
        case list():
            items = list(enumerate(value))
        case _:
            return [path]
    inner = [p for key, item in items for p in paths(item, (*path, key))]
    return [path, *inner] if path else inner


def replaced(value, path: tuple, odd):
    """Return a copy of ``value`` with ``odd`` in the place named by ``path``."""
    changed = copy.deepcopy(value)
    target = changed
    for key in path[:-1]:
        target = target[key]
    target[path[-1]] = odd
    return changed


def with_odd_value(value) -> st.SearchStrategy:
    """Return variants of ``value`` in which one inner value is odd."""
    return st.builds(
        lambda path, odd: replaced(value, path, odd),
        st.sampled_from(paths(value)),
        ODD_VALUES,
    )


def mangled(data: bytes) -> st.SearchStrategy:
    """Return truncated copies of ``data`` and copies with one changed byte."""
    positions = st.integers(0, len(data) - 1)
    return st.one_of(
        st.builds(lambda i: data[:i], positions),
        st.builds(
            lambda i, byte: data[:i] + bytes([byte]) + data[i + 1 :],
            positions,
            st.integers(0, 255),
        ),
    )


# Deeper than any decoder may descend.
NESTED_JSON = b"[" * DEPTH
NESTED_MSGPACK = b"\x91" * DEPTH
