"""A daemon must reject a settings file that does not mean what its author intended."""

import pytest

from sesamepost.internal.settings.model import ProcessSettings
from sesamepost.internal.settings.process import read_process_settings
from sesamepost.internal.wire.pool import Address

COMPLETE = """
[node]
vm = vm-1
failure_domain = a1
region = a
[callers]
address = 0.0.0.0:8080
[peers]
address = 10.0.0.1:7001
key_file = keys/peers
seeds = 10.0.0.2:7001, [fd00::1]:7001, 10.0.0.2:7001
[operators]
address = 127.0.0.1:0
[endpoints]
address = 127.0.0.1:7003
[store]
url = http://10.0.0.5:7000/
"""
KEY = b"0123456789abcde\n"


@pytest.fixture
def read(tmp_path):
    def read_text(text, key=KEY):
        (tmp_path / "keys").mkdir(exist_ok=True)
        (tmp_path / "keys" / "peers").write_bytes(key)
        path = tmp_path / "node.ini"
        path.write_text(text)
        return read_process_settings(path)

    return read_text


def test_complete_file_is_read(read):
    assert read(COMPLETE).ok == ProcessSettings(
        vm="vm-1",
        failure_domain="a1",
        region="a",
        callers=Address("0.0.0.0", 8080),
        peers=Address("10.0.0.1", 7001),
        operators=Address("127.0.0.1", 0),
        endpoints=Address("127.0.0.1", 7003),
        peers_key=KEY,
        seeds=(Address("10.0.0.2", 7001), Address("fd00::1", 7001)),
        store_url="http://10.0.0.5:7000",
        stop_timeout_s=30.0,
    )


@pytest.mark.parametrize(
    ("old", "new", "reason"),
    [
        ("vm = vm-1\n", "", "[node] vm: the setting is missing"),
        ("vm-1", "vm 1", "not a name"),
        ("[store]", "[stores]", "[stores]: unknown section"),
        ("10.0.0.1:7001", "0.0.0.0:7001", "address of all interfaces"),
        ("10.0.0.1:7001", "localhost:7001", "not an IP address"),
        ("10.0.0.1:7001", "10.0.0.1", "port is missing"),
        ("10.0.0.1:7001", "10.0.0.1:70010", "not a port"),
        ("10.0.0.1:7001", "fd00::1:7001", "brackets"),
        ("10.0.0.2:7001,", "10.0.0.2:0,", "no port that can be reached"),
        ("keys/peers", "keys/other", "can't be read"),
        ("key_file = keys/peers\n", "", "key_file: the setting is missing"),
        ("http://10.0.0.5:7000/", "10.0.0.5:7000", "not a base URL"),
        ("http://10.0.0.5:7000/", "http://[::1", "not a URL"),
        ("[store]", "[stop]\ntimeout_s = 0x10\n[store]", "not a number"),
    ],
)
def test_faulty_file_is_refused(read, old, new, reason):
    assert old in COMPLETE
    found = [str(item) for item in read(COMPLETE.replace(old, new)).error]
    assert any(reason in line for line in found), found


@pytest.mark.parametrize("key", [b"", b"x" * 15, b"x" * 4097])
def test_key_of_the_wrong_size_is_refused(read, key):
    assert "bytes" in str(read(COMPLETE, key).error[0])


def test_empty_file_names_every_missing_setting(read):
    missing = {(item.section, item.key) for item in read("").error}
    assert missing == {
        *(("node", key) for key in ("vm", "failure_domain", "region")),
        *((name, "address") for name in ("callers", "peers", "operators", "endpoints")),
        ("peers", "key_file"),
        ("store", "url"),
    }


def test_unreadable_file_is_reported_as_a_problem(tmp_path):
    assert "can't be read" in str(read_process_settings(tmp_path / "no").error[0])
    path = tmp_path / "latin"
    path.write_bytes(b"[node]\nvm = \xe9\n")
    assert "not UTF-8" in str(read_process_settings(path).error[0])
