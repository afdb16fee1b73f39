"""The command that repeats every measurement."""

import defopt

from sesamepost.tools.capacity.fit import TABLE_HEADER, Series
from sesamepost.tools.capacity.messages import (
    document_bytes,
    message_bytes,
    message_cpu,
)


def print_table(title: str, series: list[Series]) -> None:
    """Print one table of costs."""
    print(f"\n{title}\n\n{TABLE_HEADER}", flush=True)
    for item in series:
        print(item.row(), flush=True)


def measure() -> None:
    """Print the cost of control by size: cost = base + slope x size."""
    print_table("Documents", document_bytes())
    print_table("Messages: bytes", message_bytes())
    print_table("Messages: CPU", message_cpu())


def main() -> None:
    """Run the command line."""
    defopt.run(measure)
