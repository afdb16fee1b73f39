"""Parse INI text into sections and entries and report every faulty line.

``configparser`` stops at the first duplicate, appends indented lines to the previous
value and uses a ``DEFAULT`` section as the fallback for all others. This parser reports
each of these as a problem, so that a typing error can't change the meaning of another
setting.
"""

from dataclasses import dataclass, field

from sesamepost.internal.settings.problems import SettingsProblem

BYTE_ORDER_MARK = "\ufeff"
COMMENT_CHARACTERS = ("#", ";")


@dataclass(frozen=True, slots=True)
class Entry:
    """A ``key = value`` line."""

    key: str
    value: str
    line: int


@dataclass(frozen=True, slots=True)
class Section:
    """A section and its entries in the order of the text, without duplicates."""

    name: str
    line: int
    entries: list[Entry] = field(default_factory=list)


def parse_ini(file: str, text: str) -> tuple[list[Section], list[SettingsProblem]]:
    """Return the sections in ``text`` and a problem for each faulty line.

    A comment is a line that begins with ``#`` or ``;``, and a value extends to the end
    of its line. The only separator is ``=``, because addresses contain colons.
    """
    parser = _IniParser(file)
    for number, raw_line in enumerate(
        text.removeprefix(BYTE_ORDER_MARK).split("\n"), 1
    ):
        parser.read_line(number, raw_line.rstrip())
    return parser.sections, parser.problems


class _IniParser:
    def __init__(self, file: str) -> None:
        self.file = file
        self.sections: list[Section] = []
        self.problems: list[SettingsProblem] = []
        self.current: Section | None = None

    def read_line(self, number: int, line: str) -> None:
        content = line.lstrip()
        if not content or content.startswith(COMMENT_CHARACTERS):
            return
        if content != line:
            self.report(
                number,
                content,
                "the line is indented",
                "remove the spaces; a value can't extend over several lines",
            )
        if content.startswith("["):
            self.start_section(number, content)
            return
        key, separator, value = content.partition("=")
        if not separator or not key.strip():
            self.report(
                number,
                content,
                "the line is neither a section nor a setting",
                "write it as [section] or key = value",
            )
            return
        self.add_entry(Entry(key.strip(), value.strip(), number))

    def start_section(self, number: int, content: str) -> None:
        name = content.strip("[]").strip()
        if not name or content != f"[{content[1:-1]}]" or content[1:-1].strip() != name:
            self.current = None
            self.report(
                number, content, "the section header is malformed", "write [section]"
            )
        if any(section.name == name for section in self.sections):
            self.report(
                number,
                content,
                "the section occurs twice",
                "put all its settings under the first header",
            )
        # Settings under a faulty header are still checked, to report all problems.
        self.current = Section(name, number)
        self.sections.append(self.current)

    def add_entry(self, entry: Entry) -> None:
        if self.current is None:
            self.report(
                entry.line,
                f"{entry.key} = {entry.value}",
                "the setting comes before the first section",
                "move it below a [section] header",
            )
            return
        if any(existing.key == entry.key for existing in self.current.entries):
            self.problems.append(
                SettingsProblem(
                    self.file,
                    self.current.name,
                    entry.key,
                    entry.value,
                    "the key occurs twice in this section",
                    "keep one of the lines",
                    entry.line,
                )
            )
            return
        self.current.entries.append(entry)

    def report(self, number: int, content: str, reason: str, remedy: str) -> None:
        section = self.current.name if self.current is not None else ""
        reason_with_line = f"{reason}: {content!r}"
        self.problems.append(
            SettingsProblem(
                self.file, section, "", content, reason_with_line, remedy, number
            )
        )
