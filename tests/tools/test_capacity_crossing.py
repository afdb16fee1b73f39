"""Guards against a protocol that no longer fits the link between two regions."""

import pytest

from sesamepost.tools.capacity.crossing import (
    cross_region_bits_per_s,
    cross_region_share,
)

LINK_BITS_PER_S = 4e9


def test_three_of_five_domains_in_one_region_make_48_percent_cross():
    assert cross_region_share() == pytest.approx(2 * 0.6 * 0.4)


def test_all_requests_that_cross_fit_the_link_between_two_regions():
    assert cross_region_bits_per_s() < LINK_BITS_PER_S
