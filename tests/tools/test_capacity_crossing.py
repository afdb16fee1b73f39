"""Guard against a protocol that exceeds the link between two regions."""

import pytest

from sesamepost.tools.capacity.crossing import (
    cross_region_bits_per_s,
    cross_region_share,
)

LINK_BITS_PER_S = 4e9


def test_48_percent_cross_with_three_of_five_failure_domains_in_one_region():
    assert cross_region_share() == pytest.approx(2 * 0.6 * 0.4)


def test_cross_region_requests_fit_the_link_between_two_regions():
    assert cross_region_bits_per_s() < LINK_BITS_PER_S
