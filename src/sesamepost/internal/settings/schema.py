"""The table of all settings, used for parsing and for the reference page."""

import ipaddress
import math
import re
from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import Any
from urllib.parse import urlsplit

from expression import Error, Ok, Result

from sesamepost.internal.settings.model import (
    ClassSettings,
    RestartPolicy,
    ServiceSettings,
    TeamBranch,
    VmState,
)
from sesamepost.internal.wire.pool import Address

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
NAME_RULE = "1 to 63 letters, digits, '.', '_' and '-', the first one a letter or digit"
INTEGER_PATTERN = re.compile(r"[+-]?[0-9]{1,18}")
NUMBER_PATTERN = re.compile(r"[+-]?([0-9]+(\.[0-9]*)?|\.[0-9]+)([eE][+-]?[0-9]+)?")
MAX_PORT = 65535
MAX_TIMEOUT_MS = 600_000
MAX_PARTITIONS = 4096

_BRANCH = TeamBranch("example")
_SERVICE = ServiceSettings("example")
_CLASS = ClassSettings("example")


class ValueKind(Enum):
    """How the text of a setting is parsed; the member's value describes the type."""

    INTEGER = "whole number"
    POWER_OF_TWO = "power of two"
    NUMBER = "number"
    CHOICE = "one of"
    NAME = "name"
    LISTEN_ADDRESS = "address to listen on (IP:port)"
    ADDRESSES = "list of addresses (IP:port)"
    URL = "URL"
    FILE = "path of a file"


class Required(Enum):
    """Sentinel for the default of a setting that must be given."""

    REQUIRED = "required"


@dataclass(frozen=True, slots=True)
class Setting:
    """One key of a section; ``section`` is the part of the header before ``:``."""

    section: str
    name: str
    kind: ValueKind
    description: str
    default: Any = Required.REQUIRED
    unit: str = ""
    minimum: float = 0
    maximum: float = 0
    choices: type[StrEnum] | None = None

    @property
    def is_required(self) -> bool:
        """Whether the setting must be given."""
        return self.default is Required.REQUIRED

    def allowed_values(self) -> str:
        """Describe the allowed values, for messages and the reference."""
        unit = f" ({self.unit})" if self.unit else ""
        match self.kind:
            case ValueKind.INTEGER | ValueKind.POWER_OF_TWO | ValueKind.NUMBER:
                bounds = f"from {self.minimum:.10g} to {self.maximum:.10g}"
                return f"a {self.kind.value} {bounds}{unit}"
            case ValueKind.CHOICE:
                return f"one of {', '.join(self.choices or ())}"
            case ValueKind.NAME:
                return f"a name: {NAME_RULE}"
            case ValueKind.LISTEN_ADDRESS:
                return "IP:port, such as 10.0.0.5:7001; port 0 chooses a free one"
            case ValueKind.ADDRESSES:
                return "IP:port, separated by commas; empty for none"
            case ValueKind.URL:
                return "a URL such as http://10.0.0.5:7000"
            case ValueKind.FILE:
                return "the path of a file, absolute or relative to the settings file"


@dataclass(frozen=True, slots=True)
class SectionKind:
    """A kind of section; ``parameter`` is the part of its header after ``:``."""

    name: str
    parameter: str
    description: str

    @property
    def header(self) -> str:
        """The header as shown in messages and in the reference."""
        return f"{self.name}:{self.parameter}" if self.parameter else self.name


PROCESS_SECTIONS = (
    SectionKind("node", "", "Where this daemon runs."),
    SectionKind("callers", "", "The port for callers (HTTP)."),
    SectionKind("peers", "", "The port for other daemons, and how they are reached."),
    SectionKind("operators", "", "The port for operators (HTTP)."),
    SectionKind("endpoints", "", "The port for the endpoints of this VM (HTTP)."),
    SectionKind("store", "", "The platform's store."),
    SectionKind("stop", "", "What happens on SIGTERM."),
)

BRANCH_SECTIONS = (
    SectionKind("team", "", "What applies to all services of the team."),
    SectionKind("service", "NAME", "One service; its name is unique in the tree."),
    SectionKind(
        "class",
        "SERVICE/NAME",
        "A class of requests of a service. The class `default` always exists and takes"
        " the requests that name none.",
    ),
    SectionKind("vm", "NAME", "What the operators want of a VM."),
)

PROCESS_SETTINGS = (
    Setting("node", "vm", ValueKind.NAME, "Name of the VM, unique in the fleet."),
    Setting(
        "node",
        "failure_domain",
        ValueKind.NAME,
        "VMs that can fail together have the same failure domain.",
    ),
    Setting("node", "region", ValueKind.NAME, "Region of the failure domain."),
    Setting("callers", "address", ValueKind.LISTEN_ADDRESS, "Address for callers."),
    Setting(
        "peers",
        "address",
        ValueKind.LISTEN_ADDRESS,
        "Address for other daemons. They are told this address, so it can't be that"
        " of all interfaces.",
    ),
    Setting(
        "peers",
        "key_file",
        ValueKind.FILE,
        "File with the key that all daemons share, 16 to 4096 bytes. All bytes count,"
        " including a trailing line end.",
    ),
    Setting(
        "peers",
        "seeds",
        ValueKind.ADDRESSES,
        "Peer addresses of other daemons that are asked first.",
        default=(),
    ),
    Setting("operators", "address", ValueKind.LISTEN_ADDRESS, "Address for operators."),
    Setting("endpoints", "address", ValueKind.LISTEN_ADDRESS, "Address for endpoints."),
    Setting("store", "url", ValueKind.URL, "Base URL of the platform's store."),
    Setting(
        "stop",
        "timeout_s",
        ValueKind.NUMBER,
        "How long a graceful stop may take at most.",
        default=30.0,
        unit="s",
        maximum=3600,
    ),
)

BRANCH_SETTINGS = (
    Setting(
        "team",
        "weight_imbalance",
        ValueKind.NUMBER,
        "Weight of an uneven load when moves are planned.",
        default=_BRANCH.weights.imbalance,
        maximum=1_000_000,
    ),
    Setting(
        "team",
        "weight_churn",
        ValueKind.NUMBER,
        "Weight of each key that changes its owner.",
        default=_BRANCH.weights.churn,
        maximum=1_000_000,
    ),
    Setting(
        "team",
        "weight_unavailable",
        ValueKind.NUMBER,
        "Weight of the time for which keys can't be served.",
        default=_BRANCH.weights.unavailable,
        maximum=1_000_000,
    ),
    Setting(
        "team",
        "restart",
        ValueKind.CHOICE,
        "On a planned restart, `move` gives the VM's partitions to others; `wait`"
        " keeps them for the restarted VM, which causes no churn.",
        default=_BRANCH.restart,
        choices=RestartPolicy,
    ),
    Setting(
        "team",
        "restart_wait_s",
        ValueKind.NUMBER,
        "How long `wait` keeps the partitions at most.",
        default=_BRANCH.restart_wait_s,
        unit="s",
        maximum=3600,
    ),
    Setting(
        "team",
        "max_moves_per_round",
        ValueKind.INTEGER,
        "How many partitions or hot keys one planning round moves at most.",
        default=_BRANCH.max_moves_per_round,
        minimum=1,
        maximum=MAX_PARTITIONS,
    ),
    Setting(
        "service",
        "partitions",
        ValueKind.POWER_OF_TWO,
        "Number of partitions of the keys; it can't be changed later.",
        default=_SERVICE.partitions,
        minimum=1,
        maximum=MAX_PARTITIONS,
    ),
    Setting(
        "service",
        "timeout_ms",
        ValueKind.INTEGER,
        "Timeout of requests that state none.",
        default=_SERVICE.timeout_ms,
        unit="ms",
        minimum=1,
        maximum=MAX_TIMEOUT_MS,
    ),
    Setting(
        "service",
        "slots",
        ValueKind.INTEGER,
        "Requests that an endpoint runs at the same time.",
        default=_SERVICE.slots,
        minimum=1,
        maximum=10_000,
    ),
    Setting(
        "service",
        "connections",
        ValueKind.INTEGER,
        "Connections to an endpoint.",
        default=_SERVICE.connections,
        minimum=1,
        maximum=10_000,
    ),
    Setting(
        "service",
        "queue_length",
        ValueKind.INTEGER,
        "Requests that wait for an endpoint in each class.",
        default=_SERVICE.queue_length,
        maximum=100_000,
    ),
    Setting(
        "service",
        "retry_percent",
        ValueKind.INTEGER,
        "Retries in percent of the requests.",
        default=_SERVICE.retry_percent,
        unit="%",
        maximum=100,
    ),
    Setting(
        "class",
        "weight",
        ValueKind.INTEGER,
        "Share of the slots relative to the service's other classes. With 0 the class"
        " gets only slots that no other class uses.",
        default=_CLASS.weight,
        maximum=1000,
    ),
    Setting(
        "vm",
        "state",
        ValueKind.CHOICE,
        "`drained_for_deploy` and `drained_for_maintenance` are kept apart so that the"
        " end of one does not end the other. `removed` fences a VM that will not"
        " return.",
        default=VmState.IN_SERVICE,
        choices=VmState,
    ),
)


def is_name(text: str) -> bool:
    """Return whether ``text`` is a valid name for a team, service, class or VM."""
    return NAME_PATTERN.fullmatch(text) is not None


def parse_value(setting: Setting, text: str) -> Result[Any, str]:
    """Return the value parsed from ``text``, or the reason why it is not allowed."""
    match setting.kind:
        case ValueKind.INTEGER:
            return _parse_integer(setting, text)
        case ValueKind.POWER_OF_TWO:
            return _parse_integer(setting, text).bind(_check_power_of_two)
        case ValueKind.NUMBER:
            return _parse_number(setting, text)
        case ValueKind.CHOICE:
            return _parse_choice(setting, text)
        case ValueKind.NAME:
            return Ok(text) if is_name(text) else Error("the value is not a name")
        case ValueKind.LISTEN_ADDRESS:
            return parse_address(text)
        case ValueKind.ADDRESSES:
            return _parse_addresses(text)
        case ValueKind.URL:
            return _parse_url(text)
        case ValueKind.FILE:
            return Ok(text) if text else Error("the path is empty")


def parse_address(text: str) -> Result[Address, str]:
    """Parse an address of the form ``IP:port``; an IPv6 address is in brackets."""
    host, separator, port = text.rpartition(":")
    if not separator:
        return Error("the port is missing")
    is_bracketed = host.startswith("[") and host.endswith("]")
    if is_bracketed:
        host = host[1:-1]
    try:
        ip = ipaddress.ip_address(host)
    except ValueError:
        return Error(f"{host!r} is not an IP address")
    if is_bracketed != (ip.version == 6):
        return Error("an IPv6 address must be in brackets, an IPv4 address must not")
    if not re.fullmatch(r"[0-9]{1,5}", port) or int(port) > MAX_PORT:
        return Error(f"{port!r} is not a port from 0 to {MAX_PORT}")
    return Ok(Address(str(ip), int(port)))


def _parse_integer(setting: Setting, text: str) -> Result[int, str]:
    if not INTEGER_PATTERN.fullmatch(text):
        return Error("the value is not a whole number")
    return _check_bounds(setting, int(text))


def _parse_number(setting: Setting, text: str) -> Result[float, str]:
    if not NUMBER_PATTERN.fullmatch(text) or not math.isfinite(float(text)):
        return Error("the value is not a number")
    return _check_bounds(setting, float(text))


def _check_bounds(setting: Setting, value) -> Result[Any, str]:
    if value < setting.minimum:
        return Error(f"the value is below {setting.minimum:.10g}")
    if value > setting.maximum:
        return Error(f"the value is above {setting.maximum:.10g}")
    return Ok(value)


def _check_power_of_two(value: int) -> Result[int, str]:
    if value & (value - 1):
        return Error("the value is not a power of two")
    return Ok(value)


def _parse_choice(setting: Setting, text: str) -> Result[StrEnum, str]:
    for choice in setting.choices or ():
        if choice == text:
            return Ok(choice)
    return Error("the value is not among the choices")


def _parse_addresses(text: str) -> Result[tuple[Address, ...], str]:
    addresses: dict[Address, None] = {}
    for part in text.split(","):
        if not part.strip():
            continue
        parsed = parse_address(part.strip())
        if parsed.is_error():
            return Error(f"in {part.strip()!r}: {parsed.error}")
        if parsed.ok.port == 0:
            return Error(f"{part.strip()!r} has no port that can be reached")
        addresses[parsed.ok] = None
    return Ok(tuple(addresses))


def _parse_url(text: str) -> Result[str, str]:
    try:
        parts = urlsplit(text)
        is_complete = parts.scheme in ("http", "https") and bool(parts.hostname)
        has_port = parts.port != 0
    except ValueError as error:
        return Error(f"the value is not a URL ({error})")
    if not is_complete or not has_port or parts.query or parts.fragment:
        return Error("the value is not a base URL with http or https and a host")
    return Ok(text.rstrip("/"))
