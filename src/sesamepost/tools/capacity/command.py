"""The command that repeats every measurement."""

import asyncio

import defopt

from sesamepost.tools.capacity.controller_steps import controller_steps
from sesamepost.tools.capacity.fit import TABLE_HEADER, Series
from sesamepost.tools.capacity.messages import (
    document_bytes,
    message_bytes,
    message_cpu,
)
from sesamepost.tools.capacity.node import quiet_logs
from sesamepost.tools.capacity.steps import node_steps, part_series


def print_table(title: str, series: list[Series]) -> None:
    """Print one table of costs."""
    print(f"\n{title}\n\n{TABLE_HEADER}", flush=True)
    for item in series:
        print(item.row(), flush=True)


def measure() -> None:
    """Print the cost of control by size: cost = base + slope x size."""
    quiet_logs()
    print_table("Documents", document_bytes())
    print_table("Messages: bytes", message_bytes())
    print_table("Messages: CPU", message_cpu())
    print_table("Parts of steps: CPU", part_series())
    print_table("Steps of a node: CPU", asyncio.run(node_steps()))
    print_table("Steps of the controller: CPU", asyncio.run(controller_steps()))


def main() -> None:
    """Run the command line."""
    defopt.run(measure)
