"""Decoding of the platform's data: invalid data is rejected or ignored."""

import json

import pytest

from sesamepost.internal.wire.pool import Address
from sesamepost.platform.control_plane import (
    UNKNOWN_START_MS,
    HeartbeatError,
    decode_heartbeat,
    decode_leave,
)
from sesamepost.platform.routing import decode_routing
from sesamepost.platform.settings import SettingsError, read_settings

SETTINGS = """
nodeName = "sidecar-a-1"
ip = "10.1.0.41"
zone = "a"
region = "north"
internalPortRange = [7600, 7615]
applicationAddress = "10.1.0.41:8628"
service = "desk"
unknown = 5
[listenAddresses]
inbound = "10.1.0.41:8624"
outbound = "10.1.0.41:8629"
readyAddress = "10.1.0.41:8625"
controlPlane = "10.1.0.41:8620"
[bounds]
gracePeriodS = 6
maxHoldS = 10
[platform]
address = "10.200.1.7:8627"
"""

ROUTING = {
    "version": 7,
    "services": [{"name": "desk", "sharded": True}, {"name": "shop"}],
    "limits": {"maxHeaderBytes": 100, "idleTimeoutS": 15},
    "virtualHosts": [
        {
            "host": "h",
            "paths": [
                {
                    "name": "r",
                    "prefix": "/a/",
                    "kind": "unsafe",
                    "timeoutS": 1.5,
                    "targetLatencyS": 0.8,
                    "priority": 2,
                    "maxAttempts": 2,
                    "trafficSplit": [
                        {"service": "desk", "weight": 90},
                        {"service": "shop", "weight": 10},
                    ],
                },
                {"name": "s", "prefix": "/b/", "kind": "safe", "service": "shop"},
            ],
        }
    ],
}

HEARTBEAT = {
    "address": "10.1.0.41:8628",
    "born": 1778173088000,
    "serviceInfo": {"service": "desk", "version": "v1", "zone": "a", "slots": 6},
    "status": {"state": "ready", "sequence": 4, "coldRemainingS": 0},
}


def test_settings_with_unknown_fields_are_read(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS)
    settings = read_settings(path)
    assert settings.callers_address == Address("10.1.0.41", 8629)
    assert settings.peer_port == 7600
    assert settings.max_hold_s == 10.0
    assert settings.store_url == "http://10.200.1.7:8627"
    assert settings.memory_bytes == 300_000_000


def test_the_memory_limit_is_read(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS + "[limits]\nmemoryMb = 512\n")
    assert read_settings(path).memory_bytes == 512_000_000


@pytest.mark.parametrize(
    ("before", "after", "message"),
    [
        ("nodeName", "otherName", "nodeName"),
        ('"10.1.0.41:8629"', '"nowhere"', "nowhere"),
        ("[platform]", "[platform", "cannot be read"),
    ],
)
def test_an_invalid_settings_file_is_reported(tmp_path, before, after, message):
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS.replace(before, after))
    with pytest.raises(SettingsError, match=message):
        read_settings(path)


@pytest.mark.parametrize(
    ("kind", "is_retryable"), [("safe", True), ("download", True), ("unsafe", False)]
)
def test_safe_requests_and_downloads_are_retryable(kind, is_retryable):
    # Guards against downloads that end with the first failure of an endpoint.
    fields = json.loads(json.dumps(ROUTING).replace('"safe"', f'"{kind}"'))
    assert decode_routing(json.dumps(fields).encode()).routes[1].is_retryable is (
        is_retryable
    )


def test_routing_settings_keep_kinds_times_and_shares():
    routing = decode_routing(json.dumps(ROUTING).encode())
    split, plain = routing.routes
    assert not split.is_retryable
    assert (split.timeout_s, split.target_latency_s, split.max_endpoints) == (
        1.5,
        0.8,
        2,
    )
    assert [(s.service, s.weight) for s in split.shares] == [("desk", 90), ("shop", 10)]
    assert plain.is_retryable
    assert plain.shares[0].service == "shop"
    assert routing.services["desk"].is_partitioned
    assert not routing.services["shop"].is_partitioned


@pytest.mark.parametrize("data", [b"", b"[]", b'{"version": 1}', b'"x"'])
def test_unreadable_routing_settings_are_ignored(data):
    assert decode_routing(data) is None


def decode(**changes):
    fields = json.loads(json.dumps(HEARTBEAT))
    for path, value in changes.items():
        *parents, name = path.split("__")
        target = fields
        for parent in parents:
            target = target[parent]
        target[name] = value
    return decode_heartbeat("i-1", json.dumps(fields).encode(), "10.1.0.41:8628")


def test_a_heartbeat_identifies_the_incarnation_of_the_endpoint():
    heartbeat = decode()
    endpoint = heartbeat.endpoint
    assert endpoint.incarnation == ("i-1", 1778173088000)
    assert (endpoint.service, endpoint.slots, endpoint.is_ready) == ("desk", 6, True)
    assert heartbeat.sequence == 4
    assert not decode(status__state="draining").endpoint.is_ready


@pytest.mark.parametrize(
    "changes",
    [
        {"born": "yesterday"},
        {"born": 1.5},
        {"serviceInfo__slots": True},
        {"serviceInfo__slots": -1},
        {"serviceInfo__service": 5},
        {"status__state": "resting"},
        {"status__sequence": None},
        {"address": "10.1.0.41:1"},
        {"serviceInfo": "x"},
    ],
)
def test_an_invalid_heartbeat_is_rejected(changes):
    with pytest.raises(HeartbeatError):
        decode(**changes)


@pytest.mark.parametrize("data", [b"", b"[]", b"{", b"\xff\xfe", b"null"])
def test_an_unreadable_heartbeat_is_rejected(data):
    with pytest.raises(HeartbeatError):
        decode_heartbeat("i-1", data, "10.1.0.41:8628")


@pytest.mark.parametrize(
    ("data", "born"),
    [
        (b'{"born": 7}', 7),
        (b"", UNKNOWN_START_MS),
        (b"[]", UNKNOWN_START_MS),
        (b'{"born": "7"}', UNKNOWN_START_MS),
    ],
)
def test_a_leave_ends_one_incarnation_or_all_of_them(data, born):
    assert decode_leave(data) == born
