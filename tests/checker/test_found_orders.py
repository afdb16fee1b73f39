"""Orders that failed on earlier code, shortened to the events that it took."""

import pytest

from tests.checker.events import (
    KeysMoved,
    NodeStopped,
    NodeStopsAtRead,
    PortClosed,
    StoreDown,
    StoreFault,
    WorkerKilled,
    WorkerLeaves,
)
from tests.checker.order import Order, run_order
from tests.checker.trace import no_logs


def breaches_of(seed: str, *events) -> list[str]:
    order = Order(seed, 2, False, tuple(events))
    with no_logs():
        return [str(breach) for breach in run_order(order).breaches]


@pytest.mark.parametrize("reads", range(1, 61))
def test_a_worker_is_not_taken_for_ended_because_its_node_stood_still(reads):
    """Callers could see two workers with the same keys (OWNER).

    The node stopped for 1.2 s between two readings of its clock, right before it
    concluded from the silence of its worker that this had ended. The heartbeat that
    had arrived meanwhile was read only after that.
    """
    assert not breaches_of(
        "faults-5",
        KeysMoved(at=3.04, node=1, target=0, begin=0.0, part=0.51),
        PortClosed(at=4.48, node=1, duration_s=3.0, resets_open=True),
        NodeStopsAtRead(at=4.488, node=1, reads=reads, duration_s=1.18, is_slow=False),
        NodeStopped(at=4.506, node=1, down_s=1.0),
    )


def test_a_slow_answer_to_the_write_of_the_entry_leaves_ranges_writable():
    """The keys of a worker that had ended could stay without an owner for ever.

    The watch showed the node its own entry before the answer to the write came. The
    node then expected a record of its lease that the store did not have, so that each
    write of ranges failed.
    """
    assert not breaches_of(
        "1-14",
        StoreFault(at=2.5, node=-1, duration_s=5.5, how="slow", late_s=0.3),
        WorkerKilled(
            at=4.8, node=1, down_s=None, keeps_id=True, clock_step_s=0.0, silent_s=0.0
        ),
    )


def test_a_range_ahead_of_the_watch_keeps_no_node_busy():
    """A node could use all of its processor until its watch had caught up.

    It got a range, announced by another node, for a life of its worker that had been
    replaced. It tried to adopt the range in a table that did not have the move yet,
    again and again without waiting.
    """
    assert not breaches_of(
        "1-16",
        StoreDown(at=4.633, duration_s=1.186, leases_pause=False),
        WorkerLeaves(
            at=4.648,
            node=1,
            serves_s=2.5,
            down_s=0.0,
            sends_leave=True,
            keeps_id=True,
        ),
        WorkerKilled(
            at=4.837,
            node=0,
            down_s=0.0,
            keeps_id=True,
            clock_step_s=0.0,
            silent_s=0.659,
        ),
    )
