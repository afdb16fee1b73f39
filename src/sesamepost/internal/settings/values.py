"""Convert the entries of a section to values according to the table of settings."""

import difflib
from dataclasses import dataclass, field
from typing import Any

from sesamepost.internal.settings.ini import Entry, Section
from sesamepost.internal.settings.problems import SettingsProblem
from sesamepost.internal.settings.schema import SectionKind, Setting, parse_value


@dataclass(slots=True)
class ValueReader:
    """Reads the sections of one file and collects their problems."""

    file: str
    section_kinds: tuple[SectionKind, ...]
    settings: tuple[Setting, ...]
    problems: list[SettingsProblem] = field(default_factory=list)

    def read(self, kind: str, section: Section) -> dict[str, Any]:
        """Return the value of each setting of this kind of section.

        A faulty or missing value is replaced by the default, or by None if there is
        none, so that later checks can report further problems.
        """
        known = {item.name: item for item in self.settings if item.section == kind}
        values = {
            name: None if item.is_required else item.default
            for name, item in known.items()
        }
        for entry in section.entries:
            setting = known.get(entry.key)
            if setting is None:
                self.report(section, entry, "unknown key", _suggest(entry.key, known))
                continue
            parsed = parse_value(setting, entry.value)
            if parsed.is_ok():
                values[entry.key] = parsed.ok
                continue
            self.report(section, entry, parsed.error, f"use {setting.allowed_values()}")
        given = {entry.key for entry in section.entries}
        for name, item in known.items():
            if item.is_required and name not in given:
                self.report(
                    section,
                    Entry(name, "", 0),
                    "the setting is missing",
                    f"add {name} = ..., {item.allowed_values()}",
                )
        return values

    def report_unknown_section(self, section: Section) -> None:
        """Report a section that this kind of file does not allow."""
        headers = {f"[{kind.header}]": kind for kind in self.section_kinds}
        self.report(
            section,
            Entry("", "", section.line),
            "unknown section",
            _list_known(headers),
        )

    def report(self, section: Section, entry: Entry, reason: str, remedy: str) -> None:
        """Add a problem with ``entry``."""
        self.problems.append(
            SettingsProblem(
                self.file,
                section.name,
                entry.key,
                entry.value,
                reason,
                remedy,
                entry.line,
            )
        )


def _suggest(name: str, known: dict[str, Setting]) -> str:
    matches = difflib.get_close_matches(name.lower(), known, n=1)
    if matches:
        return f"did you mean {matches[0]}?"
    return _list_known(known)


def _list_known(known: dict[str, Any]) -> str:
    return f"known here: {', '.join(known)}"
