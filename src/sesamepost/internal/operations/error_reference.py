"""Generate the table of error kinds in ``docs/callers.md`` from ``errors.py``.

Run ``python -m sesamepost.internal.operations.error_reference docs/callers.md`` after
changing the error kinds.
"""

from pathlib import Path

import defopt

from sesamepost.errors import ANSWERS, ErrorKind

BEGIN_MARKER = "<!-- error table: begin -->\n"
END_MARKER = "<!-- error table: end -->\n"
HEADER = "| kind | status | outcome | meaning |\n|---|---|---|---|\n"


def generate_table() -> str:
    """Return the table of all error kinds as Markdown."""
    return HEADER + "".join(_format_row(kind) for kind in ErrorKind)


def replace_table(page: str) -> str:
    """Return the page with the current table between its two marker comments.

    Raises ``ValueError`` unless each marker occurs exactly once, in this order.
    """
    before, begin, rest = page.partition(BEGIN_MARKER)
    _, end, after = rest.partition(END_MARKER)
    if not begin or not end or BEGIN_MARKER in rest or END_MARKER in before + after:
        raise ValueError(
            f"the page must have {BEGIN_MARKER.strip()!r} and then"
            f" {END_MARKER.strip()!r}, once each, on lines of their own"
        )
    return before + BEGIN_MARKER + generate_table() + END_MARKER + after


def write_table(path: Path) -> None:
    """Write the table of error kinds into the callers' guide.

    :param path: Page to change.
    """
    path.write_text(replace_table(path.read_text()))


def _format_row(kind: ErrorKind) -> str:
    answer = ANSWERS[kind]
    text = answer.text.replace("|", "\\|")
    return f"| `{kind}` | {answer.status} | `{answer.outcome}` | {text} |\n"


if __name__ == "__main__":
    defopt.run(write_table)
