"""Orders that failed on earlier code, shortened to the events that it took."""

import pytest

from tests.checker.events import KeysMoved, NodeStopped, NodeStopsAtRead, PortClosed
from tests.checker.order import Order, run_order
from tests.checker.trace import no_logs


def breaches_of(order: Order) -> list[str]:
    with no_logs():
        return [str(breach) for breach in run_order(order).breaches]


@pytest.mark.parametrize("reads", range(1, 61))
def test_a_worker_is_not_taken_for_ended_because_its_node_stood_still(reads):
    """Callers could see two workers with the same keys (OWNER).

    The node stopped for 1.2 s between two readings of its clock, right before it
    concluded from the silence of its worker that this had ended. The heartbeat that
    had arrived meanwhile was read only after that.
    """
    events = (
        KeysMoved(at=3.04, node=1, target=0, begin=0.0, part=0.51),
        PortClosed(at=4.48, node=1, duration_s=3.0, resets_open=True),
        NodeStopsAtRead(at=4.488, node=1, reads=reads, duration_s=1.18, is_slow=False),
        NodeStopped(at=4.506, node=1, down_s=1.0),
    )
    assert not breaches_of(Order("faults-5", 2, False, events))
