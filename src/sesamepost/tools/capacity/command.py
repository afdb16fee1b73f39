"""Command line that runs all capacity measurements."""

import asyncio

import defopt

from sesamepost.tools.capacity.controller_steps import controller_steps
from sesamepost.tools.capacity.fit import TABLE_HEADER, Series
from sesamepost.tools.capacity.memory import (
    document_memory,
    record_memory,
    stream_costs,
)
from sesamepost.tools.capacity.messages import (
    document_bytes,
    message_bytes,
    message_cpu,
)
from sesamepost.tools.capacity.node import discard_logs
from sesamepost.tools.capacity.running import measure_fleet, memory_of_imports
from sesamepost.tools.capacity.steps import node_steps, part_series

PORTS_PER_FLEET = 1000


def print_table(title: str, series: list[Series]) -> None:
    """Print a table of costs."""
    print(f"\n{title}\n\n{TABLE_HEADER}", flush=True)
    for item in series:
        print(item.format_row(), flush=True)


def measure(
    *, fleet_sizes: tuple[int, ...] = (6, 12, 24), base_port: int = 21000
) -> None:
    """Print the cost of the control plane by size: cost = base + slope x size.

    :param fleet_sizes: numbers of VMs of the fleets of separate processes; each VM
        takes two processes
    :param base_port: first port to use; each fleet reserves 1000 ports
    """
    discard_logs()
    print_table("Documents", document_bytes())
    print_table("Messages: bytes", message_bytes())
    print_table("Messages: CPU", message_cpu())
    print_table("Parts of steps: CPU", part_series())
    print_table("Steps of a node: CPU", asyncio.run(node_steps()))
    print_table("Steps of the controller: CPU", asyncio.run(controller_steps()))
    print_table("Memory: bytes", [*document_memory(), *record_memory()])
    print_table("Streams", asyncio.run(stream_costs()))
    print("\nFleets of separate processes without requests\n")
    print(f"- imports only: {memory_of_imports() / (1 << 20):.1f} MiB resident")
    for index, nodes in enumerate(fleet_sizes):
        cost = measure_fleet(nodes, base_port + PORTS_PER_FLEET * index)
        print("\n".join(asyncio.run(cost).format_rows()), flush=True)


def main() -> None:
    """Entry point of ``sesamepost-capacity``."""
    defopt.run(measure)
