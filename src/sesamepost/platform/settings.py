"""The settings file of a router process."""

import tomllib
from pathlib import Path

from sesamepost.internal.forwarding.node_settings import NodeSettings
from sesamepost.internal.wire.pool import Address

DEFAULT_MAX_HOLD_S = 10.0
DEFAULT_HEARTBEAT_INTERVAL_S = 1.5
DEFAULT_STOP_TIMEOUT_S = 6.0
DEFAULT_MEMORY_MB = 300
DEFAULT_FILE_DESCRIPTORS = 4096
DEFAULT_LINK_MBPS = 1000.0
BYTES_PER_MB = 1_000_000
BYTES_PER_S_PER_MBPS = 125_000
PEER_PORT_OFFSET = 0
METRICS_PORT_OFFSET = 1


class SettingsError(Exception):
    """The settings file is invalid; the message names the field or the value."""


def read_settings(path: Path) -> NodeSettings:
    """Return the settings in a file; raise ``SettingsError`` if it is invalid."""
    try:
        fields = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise SettingsError(f"{path} cannot be read: {error}") from None
    try:
        return decode_settings(fields)
    except KeyError as error:
        raise SettingsError(f"{path} has no field {error}") from None
    except (TypeError, ValueError) as error:
        raise SettingsError(f"{path} has an invalid value: {error}") from None


def decode_settings(fields: dict) -> NodeSettings:
    """Return the settings from the fields of the platform's file."""
    listen = fields["listenAddresses"]
    first_port = int(fields["internalPortRange"][0])
    bounds = fields.get("bounds", {})
    limits = fields.get("limits", {})
    link_mbps = float(limits.get("linkMbps", DEFAULT_LINK_MBPS))
    return NodeSettings(
        name=fields["nodeName"],
        vm=fields["ip"],
        failure_domain=fields["zone"],
        region=fields["region"],
        service=fields.get("service", ""),
        endpoint_address=_address(fields["applicationAddress"]),
        callers_address=_address(listen["outbound"]),
        peer_port=first_port + PEER_PORT_OFFSET,
        ready_address=_address(listen["readyAddress"]),
        heartbeat_address=_address(listen["controlPlane"]),
        metrics_port=first_port + METRICS_PORT_OFFSET,
        store_url="http://" + fields["platform"]["address"],
        max_hold_s=float(bounds.get("maxHoldS", DEFAULT_MAX_HOLD_S)),
        heartbeat_interval_s=float(
            fields.get("heartbeatIntervalS", DEFAULT_HEARTBEAT_INTERVAL_S)
        ),
        stop_timeout_s=float(bounds.get("gracePeriodS", DEFAULT_STOP_TIMEOUT_S)),
        memory_bytes=int(limits.get("memoryMb", DEFAULT_MEMORY_MB)) * BYTES_PER_MB,
        file_descriptors=int(limits.get("fileDescriptors", DEFAULT_FILE_DESCRIPTORS)),
        link_bytes_per_s=link_mbps * BYTES_PER_S_PER_MBPS,
    )


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host:
        raise ValueError(f"{text!r} is not of the form host:port")
    return Address(host, int(port))
