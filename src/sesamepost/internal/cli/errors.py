"""Exit codes of ``sesamepostctl`` and the errors that they report."""

from enum import IntEnum
from typing import Any

from sesamepost.internal.settings.problems import SettingsProblem
from sesamepost.internal.store.interface import StoreConflictError


class ExitCode(IntEnum):
    """The exit codes; scripts rely on them, so their meaning never changes."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    REFUSED = 4
    UNAVAILABLE = 5


class CommandError(Exception):
    """Raised if a command fails; ``details`` are added to the JSON error."""

    def __init__(self, code: ExitCode, message: str, **details: Any) -> None:
        super().__init__(message)
        self.code = code
        self.details = details


class ProblemsError(CommandError):
    """Raised if settings are refused; the problems are printed one per line."""

    def __init__(self, file: str, problems: list[SettingsProblem]) -> None:
        count = f"{len(problems)} problem{'s' if len(problems) > 1 else ''}"
        super().__init__(
            ExitCode.REFUSED, f"{file} is refused because of {count}; see the output"
        )
        self.problems = problems


def conflict_error(conflict: StoreConflictError) -> CommandError:
    """Return the error for a compare-and-swap that was lost to another writer."""
    found = f"version {conflict.version}" if conflict.version else "absent"
    writer = f", written by {conflict.author}" if conflict.author else ""
    expected = f"version {conflict.expected}" if conflict.expected else "no branch"
    return CommandError(
        ExitCode.CONFLICT,
        f"{conflict.key} is {found}{writer}, but the command expected {expected};"
        " compare with diff and use the present version",
        key=conflict.key,
        expected=conflict.expected,
        version=conflict.version,
        author=conflict.author,
    )
