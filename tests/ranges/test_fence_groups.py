"""No fence is sent over two groups of connections."""

from hypothesis import given
from hypothesis import strategies as st

from sesamepost.internal.ranges.fence_groups import FenceGroups

FENCE = st.integers(1, 6)
GROUP = st.integers(1, 3)


@given(st.lists(st.tuples(FENCE, GROUP)), st.sets(FENCE))
def test_a_fence_is_sent_over_one_group_only(claims, inherited):
    # Guards against two incarnations of an endpoint that get a range by one fence.
    fences = FenceGroups()
    fences.note_inherited(inherited)
    groups: dict[int, int] = {}
    for fence, group in claims:
        is_free = fences.is_claimable(fence, group)
        assert fences.claim(fence, group) == is_free
        assert is_free == (
            fence not in inherited and groups.setdefault(fence, group) == group
        )


def test_fences_that_are_not_in_use_are_forgotten():
    # Guards against a record that grows with each move of a range.
    fences = FenceGroups()
    for fence in range(100):
        assert fences.claim(fence, 1)
    fences.keep_only([98, 99])
    assert list(fences.groups) == [98, 99]
    assert not fences.claim(99, 2)
