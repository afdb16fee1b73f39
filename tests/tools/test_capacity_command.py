"""The measurements of the capacity tool run to their end.

Some call internal methods that change, which no other test notices.
"""

import asyncio

from sesamepost.tools.capacity.memory import stream_costs
from sesamepost.tools.capacity.node import discard_logs
from sesamepost.tools.capacity.steps import node_steps


def test_the_steps_of_a_node_are_measured():
    discard_logs()
    assert [s.format_row() for s in asyncio.run(node_steps())]


def test_the_streams_are_measured():
    assert [s.format_row() for s in asyncio.run(stream_costs())]
