"""Problems with settings files, described so that an operator can fix them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SettingsProblem:
    """A problem with a settings file.

    ``section`` is written as in the file, without brackets. If something is missing,
    ``line`` is 0 and ``value`` is empty.
    """

    file: str
    section: str
    key: str
    value: str
    reason: str
    remedy: str
    line: int = 0

    def __str__(self) -> str:
        location = f"{self.file}:{self.line}" if self.line else self.file
        section = f" [{self.section}]" if self.section else ""
        entry = f" {self.key} = {self.value}" if self.value else f" {self.key}"
        subject = section + (entry if self.key else "")
        return f"{location}:{subject or ' file'}: {self.reason}; {self.remedy}"
