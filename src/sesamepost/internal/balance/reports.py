"""Load reports that daemons send to the controller, and their interval."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum

from sesamepost.internal.balance.sketch import LoadCounters
from sesamepost.internal.identity import NodeId
from sesamepost.internal.wire.messages import ProtocolError, message

# A report lists at most this many partitions and this many keys of each service.
BUSIEST_ITEMS = 8

MIN_INTERVAL_S = 2.0
# Limits the reports that reach the controller to 50/s, regardless of the fleet size.
INTERVAL_S_PER_NODE = 0.02

# Keys below this share of the mean rate of a partition are not reported, which usually
# leaves few keys. The planner moves a key only if it is above the mean of the whole
# service.
MIN_KEY_SHARE = 0.25


class ReleasedKind(IntEnum):
    """The kind of a released item."""

    PARTITION = 0
    KEY = 1


@dataclass(frozen=True, slots=True)
class ReleasedItem:
    """An item that its owner released at ``epoch`` and does not serve."""

    service: str
    kind: ReleasedKind
    item: int
    epoch: int


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """The load of one service on one node, with rates in requests/s, busiest first.

    ``partitions`` and ``keys`` are pairs of a partition number or key hash and a rate.
    Rates of partitions exclude keys with an override; those come first in ``keys``.
    ``cold_start_fraction`` is the share of the slots that the ramp currently allows. A
    draining endpoint still serves, but its partitions should move away.
    """

    service: str
    total_rate: float
    partitions: tuple[tuple[int, float], ...]
    keys: tuple[tuple[int, float], ...]
    slots: int
    slots_used: int
    longest_in_flight_s: float
    cold_start_fraction: float = 1.0
    is_draining: bool = False


@message(70)
class LoadReport:
    """The message that a daemon sends to the controller every ``report_interval_s``.

    ``build_report`` packs the fields and ``read_report`` unpacks them. ``services``,
    ``released`` and ``versions`` are arrays. Rates are sent as whole tenths of a
    request/s and times as milliseconds, which takes half as many bytes as floats.
    """

    node: NodeId
    services: tuple
    released: tuple
    versions: tuple


@dataclass(frozen=True, slots=True)
class NodeLoad:
    """The content of a ``LoadReport``; ``versions`` maps documents to versions."""

    node: NodeId
    services: tuple[ServiceLoad, ...]
    released: tuple[ReleasedItem, ...] = ()
    versions: Mapping[str, int] = field(default_factory=dict)


def report_interval_s(nodes: int) -> float:
    """Return the time between two reports of a node in a fleet of ``nodes``."""
    return max(MIN_INTERVAL_S, INTERVAL_S_PER_NODE * nodes)


def measure_service(
    service: str,
    counters: LoadCounters,
    slots: int,
    slots_used: int,
    longest_in_flight_s: float,
    cold_start_fraction: float = 1.0,
    is_draining: bool = False,
) -> ServiceLoad:
    """Return the entry of a service for the report."""
    partitions = counters.busiest_partitions(BUSIEST_ITEMS)
    held = len(counters.partitions.counts)
    min_rate = MIN_KEY_SHARE * counters.partitions.total() / held if held else 0.0
    keys = [
        (key, rate)
        for key, rate in counters.busiest_keys(BUSIEST_ITEMS)
        if rate >= min_rate or key in counters.overrides.counts
    ]
    return ServiceLoad(
        service,
        counters.total_rate(),
        tuple(partitions),
        tuple(keys),
        slots,
        slots_used,
        longest_in_flight_s,
        cold_start_fraction,
        is_draining,
    )


def build_report(load: NodeLoad) -> LoadReport:
    """Return the message that contains ``load``."""
    return LoadReport(
        load.node,
        tuple(
            (
                item.service,
                _to_tenths(item.total_rate),
                _pack_pairs(item.partitions),
                _pack_pairs(item.keys),
                item.slots,
                item.slots_used,
                _to_milliseconds(item.longest_in_flight_s),
                round(item.cold_start_fraction * 100),
                item.is_draining,
            )
            for item in load.services
        ),
        tuple(
            (item.service, int(item.kind), item.item, item.epoch)
            for item in load.released
        ),
        tuple(sorted(load.versions.items())),
    )


def read_report(report: LoadReport) -> NodeLoad:
    """Return the content of a message; raise ``ProtocolError`` if it is invalid."""
    try:
        return NodeLoad(
            report.node,
            tuple(_read_service(*fields) for fields in report.services),
            tuple(
                ReleasedItem(str(service), ReleasedKind(kind), int(item), int(epoch))
                for service, kind, item, epoch in report.released
            ),
            {str(name): int(version) for name, version in report.versions},
        )
    except (TypeError, ValueError) as error:
        raise ProtocolError(f"invalid load report: {error}") from None


def _read_service(
    service: str,
    total: int,
    partitions: list,
    keys: list,
    slots: int,
    slots_used: int,
    longest_in_flight_ms: int,
    cold_percent: int,
    is_draining: bool,
) -> ServiceLoad:
    numbers = (total, slots, slots_used, longest_in_flight_ms, cold_percent)
    if not all(isinstance(number, int) and number >= 0 for number in numbers):
        raise ValueError(f"negative or missing number for service {service}")
    return ServiceLoad(
        str(service),
        total / 10,
        _read_pairs(partitions),
        _read_pairs(keys),
        slots,
        slots_used,
        longest_in_flight_ms / 1000,
        cold_percent / 100,
        bool(is_draining),
    )


def _to_tenths(rate: float) -> int:
    return max(0, round(rate * 10))


def _to_milliseconds(seconds: float) -> int:
    return max(0, round(seconds * 1000))


def _pack_pairs(pairs: tuple[tuple[int, float], ...]) -> tuple[int, ...]:
    return tuple(number for item, rate in pairs for number in (item, _to_tenths(rate)))


def _read_pairs(numbers: list) -> tuple[tuple[int, float], ...]:
    if len(numbers) > 2 * BUSIEST_ITEMS or len(numbers) % 2:
        raise ValueError(
            f"{len(numbers)} numbers do not make up to {BUSIEST_ITEMS} pairs"
        )
    if not all(isinstance(number, int) and number >= 0 for number in numbers):
        raise ValueError("negative or missing number in a pair")
    return tuple(
        (item, rate / 10)
        for item, rate in zip(numbers[::2], numbers[1::2], strict=True)
    )
