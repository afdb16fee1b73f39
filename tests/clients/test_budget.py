"""The budget for clients counts right and lets nobody wait for ever."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sesamepost.internal.clients.budget import FREE_BYTES, READ_ON_BYTES, ClientBudget
from sesamepost.internal.clients.limits import client_limits

LIMIT_BYTES = 1 << 20
CONNECTIONS = 6

charges = st.tuples(
    st.just("charge"),
    st.integers(0, CONNECTIONS - 1),
    st.integers(0, 2 * LIMIT_BYTES),
    st.booleans(),
)
ends = st.tuples(st.just("end"), st.integers(0, CONNECTIONS - 1))
checks = st.tuples(st.just("check"))


class Connection:
    """Records whether it is held back; may be charged again as it is read on."""

    def __init__(self, budget: ClientBudget, grows: bool) -> None:
        self.budget = budget
        self.grows = grows
        self.size = 0
        self.is_held_back = False

    def hold_back(self) -> None:
        assert not self.is_held_back
        self.is_held_back = True

    def read_on(self) -> None:
        assert self.is_held_back
        self.is_held_back = False
        if self.grows and self in self.budget.sizes:
            # Bytes that were parsed before it was held back may be charged at once.
            self.grows = False
            self.charge(self.size + READ_ON_BYTES, True)

    def charge(self, size: int, may_wait: bool) -> None:
        self.size = size
        self.budget.charge(self, size, may_wait)

    def end(self) -> None:
        self.size = 0
        self.budget.release(self)


def assert_consistent(budget: ClientBudget, connections: list[Connection]) -> None:
    assert budget.used_bytes == sum(c.size for c in connections)
    assert set(budget.held_back) == {c for c in connections if c.is_held_back}
    assert set(budget.large) == {c for c in connections if c.size > FREE_BYTES}
    # Otherwise all could wait for each other.
    assert not budget.held_back or next(iter(budget.large)) not in budget.held_back


@given(
    st.lists(st.one_of(charges, ends, checks), max_size=60),
    st.lists(st.booleans(), min_size=CONNECTIONS, max_size=CONNECTIONS),
)
def test_any_order_of_arrivals_and_ends_is_summed_right(steps, growing):
    # Guards against a sum that drifts, after which a node would refuse everybody.
    budget = ClientBudget(LIMIT_BYTES)
    connections = [Connection(budget, grows) for grows in growing]
    for step in steps:
        match step:
            case "charge", index, size, may_wait:
                connections[index].charge(size, may_wait)
            case "end", index:
                connections[index].end()
            case _:
                budget.read_waiting()
        assert_consistent(budget, connections)
    for connection in connections:
        connection.end()
        assert_consistent(budget, connections)
    assert budget.used_bytes == 0
    assert not budget.sizes


def test_requests_of_ordinary_size_do_not_wait():
    # Guards against large requests that delay ordinary callers.
    budget = ClientBudget(LIMIT_BYTES)
    large = [Connection(budget, False) for _ in range(3)]
    for connection in large:
        connection.charge(LIMIT_BYTES, may_wait=True)
    small = Connection(budget, False)
    small.charge(FREE_BYTES, may_wait=True)
    assert [c.is_held_back for c in large] == [False, True, True]
    assert not small.is_held_back


def test_the_end_of_one_lets_the_next_be_read():
    budget = ClientBudget(LIMIT_BYTES)
    first, second, third = (Connection(budget, False) for _ in range(3))
    for connection in (first, second, third):
        connection.charge(LIMIT_BYTES, may_wait=True)
    first.end()
    assert [second.is_held_back, third.is_held_back] == [False, True]
    second.end()
    assert not third.is_held_back


@pytest.mark.parametrize(
    ("memory_mb", "descriptors", "connections"),
    [(200, 4096, 1000), (300, 4096, 1500), (300, 1200, 500), (200, 100, 16)],
)
def test_limits_follow_from_the_limits_of_the_process(
    memory_mb, descriptors, connections
):
    limits = client_limits(memory_mb * 1_000_000, descriptors)
    assert limits.connections == connections
    assert limits.request_bytes == max(memory_mb * 1_000_000 // 6, 32 << 20)
