"""Generate the reference of all settings, ``docs/settings.md``, from the table.

Run ``python -m sesamepost.internal.settings.reference docs/settings.md`` after changing
the table.
"""

from pathlib import Path

import defopt

from sesamepost.internal.settings.schema import (
    BRANCH_SECTIONS,
    BRANCH_SETTINGS,
    NAME_RULE,
    PROCESS_SECTIONS,
    PROCESS_SETTINGS,
    SectionKind,
    Setting,
    ValueKind,
)

INTRODUCTION = f"""\
# Settings

This page is generated from `internal/settings/schema.py`; don't edit it.

Settings are INI text in UTF-8. A line is a `[section]`, a `key = value`, a comment that
begins with `#` or `;`, or empty. A value extends to the end of its line, and lines are
not indented. Keys and sections must not occur twice, and unknown ones are refused. A
file with any fault is refused as a whole, and all faults are reported.

A name consists of {NAME_RULE}.
"""

PROCESS_INTRODUCTION = """\
## The daemon's file

`sesamepostd` reads this file when it starts. It describes one VM.
"""

BRANCH_INTRODUCTION = """\
## A team's branch

Each team has one branch, which `sesamepostctl put` writes to the store. A change is in
force on all VMs within seconds. The number of partitions of a service can't be changed
once the service exists. The name of a service belongs to the first team that defines
it, even after its branch no longer has the service.
"""


def generate_reference() -> str:
    """Return the reference of all settings as Markdown."""
    parts = [INTRODUCTION, PROCESS_INTRODUCTION]
    parts += [_format_section(kind, PROCESS_SETTINGS) for kind in PROCESS_SECTIONS]
    parts.append(BRANCH_INTRODUCTION)
    parts += [_format_section(kind, BRANCH_SETTINGS) for kind in BRANCH_SECTIONS]
    return "\n".join(parts)


def write_reference(path: Path) -> None:
    """Write the reference of all settings.

    :param path: File to write.
    """
    path.write_text(generate_reference())


def _format_section(kind: SectionKind, settings: tuple[Setting, ...]) -> str:
    rows = [
        f"### `[{kind.header}]`",
        "",
        kind.description,
        "",
        "| key | value | unit | default | description |",
        "|---|---|---|---|---|",
    ]
    rows += [_format_row(item) for item in settings if item.section == kind.name]
    return "\n".join(rows) + "\n"


def _format_row(setting: Setting) -> str:
    allowed = setting.allowed_values().removesuffix(f" ({setting.unit})")
    if setting.kind is ValueKind.NAME:
        allowed = "a name"
    cells = [
        f"`{setting.name}`",
        allowed,
        setting.unit or "-",
        _format_default(setting),
        setting.description,
    ]
    return f"| {' | '.join(cells)} |"


def _format_default(setting: Setting) -> str:
    if setting.is_required:
        return "required"
    if setting.default == ():
        return "none"
    if isinstance(setting.default, float):
        return f"{setting.default:g}"
    return f"{setting.default}"


if __name__ == "__main__":
    defopt.run(write_reference)
