"""Read the settings of a daemon process from its file."""

import ipaddress
from pathlib import Path

from expression import Error, Ok, Result

from sesamepost.internal.settings.ini import Entry, Section, parse_ini
from sesamepost.internal.settings.model import ProcessSettings
from sesamepost.internal.settings.problems import SettingsProblem
from sesamepost.internal.settings.schema import PROCESS_SECTIONS, PROCESS_SETTINGS
from sesamepost.internal.settings.values import ValueReader

MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 4096


def read_process_settings(
    path: str | Path,
) -> Result[ProcessSettings, list[SettingsProblem]]:
    """Return the settings in the file at ``path``, or every problem with them."""
    path = Path(path)
    try:
        text = path.read_bytes().decode()
    except OSError as error:
        return _file_error(path, f"the file can't be read: {error.strerror}")
    except UnicodeDecodeError as error:
        return _file_error(path, f"the file is not UTF-8: {error.reason}")
    sections, problems = parse_ini(str(path), text)
    reader = ValueReader(str(path), PROCESS_SECTIONS, PROCESS_SETTINGS, problems)
    first_by_name: dict[str, Section] = {}
    for section in sections:
        first_by_name.setdefault(section.name, section)
    kinds = [kind.name for kind in PROCESS_SECTIONS]
    for section in sections:
        if section.name not in kinds:
            reader.report_unknown_section(section)
    sections_by_kind = {
        kind: first_by_name.get(kind, Section(kind, 0)) for kind in kinds
    }
    values = {
        kind: reader.read(kind, section) for kind, section in sections_by_kind.items()
    }
    _check_peer_address(reader, sections_by_kind["peers"], values["peers"]["address"])
    key = _read_key(reader, sections_by_kind["peers"], path.parent)
    if reader.problems:
        return Error(reader.problems)
    return Ok(
        ProcessSettings(
            vm=values["node"]["vm"],
            failure_domain=values["node"]["failure_domain"],
            region=values["node"]["region"],
            callers=values["callers"]["address"],
            peers=values["peers"]["address"],
            operators=values["operators"]["address"],
            endpoints=values["endpoints"]["address"],
            peers_key=key,
            seeds=values["peers"]["seeds"],
            store_url=values["store"]["url"],
            stop_timeout_s=values["stop"]["timeout_s"],
        )
    )


def _file_error(
    path: Path, reason: str
) -> Result[ProcessSettings, list[SettingsProblem]]:
    remedy = "give the path of a settings file in UTF-8 that the daemon may read"
    return Error([SettingsProblem(str(path), "", "", "", reason, remedy)])


def _find_entry(section: Section, key: str) -> Entry | None:
    return next((entry for entry in section.entries if entry.key == key), None)


def _check_peer_address(reader: ValueReader, section: Section, address) -> None:
    entry = _find_entry(section, "address")
    if entry is None or address is None:
        return
    if not ipaddress.ip_address(address.host).is_unspecified:
        return
    reader.report(
        section,
        entry,
        "other daemons can't connect to the address of all interfaces",
        "use the IP address of this VM at which other VMs reach it",
    )


def _read_key(reader: ValueReader, section: Section, directory: Path) -> bytes:
    entry = _find_entry(section, "key_file")
    if entry is None or not entry.value:
        return b""
    path = directory / entry.value
    try:
        with path.open("rb") as file:
            key = file.read(MAX_KEY_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = f"the key file {path} can't be read: {error}"
        reader.report(section, entry, reason, "create it or correct the path")
        return b""
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        size = f"{len(key)}" if len(key) <= MAX_KEY_BYTES else f"over {MAX_KEY_BYTES}"
        reader.report(
            section,
            entry,
            f"the key file {path} has {size} bytes",
            f"use {MIN_KEY_BYTES} to {MAX_KEY_BYTES} random bytes, the same on all VMs",
        )
    return key
