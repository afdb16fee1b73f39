"""The callers' guide must match the closed list of error kinds."""

from pathlib import Path

import pytest

from sesamepost.errors import ANSWERS, ErrorKind
from sesamepost.internal.operations.error_reference import (
    BEGIN_MARKER,
    END_MARKER,
    generate_table,
    replace_table,
)

PAGE = Path(__file__).parents[2] / "docs" / "callers.md"


def test_page_is_up_to_date():
    page = PAGE.read_text()
    assert page == replace_table(page), (
        "run python -m sesamepost.internal.operations.error_reference docs/callers.md"
    )


def test_every_kind_has_one_row_with_its_answer():
    # Guards against a kind without an answer and against misplaced cells.
    rows = [
        [cell.strip().strip("`") for cell in line.strip("|").split(" | ")]
        for line in generate_table().splitlines()[2:]
    ]
    assert rows == [
        [kind, str(ANSWERS[kind].status), ANSWERS[kind].outcome, ANSWERS[kind].text]
        for kind in ErrorKind
    ]


def test_old_table_is_replaced_and_the_rest_of_the_page_is_kept():
    page = f"# Guide\n{BEGIN_MARKER}| old |\n{END_MARKER}The end.\n"
    changed = replace_table(page)
    assert changed == f"# Guide\n{BEGIN_MARKER}{generate_table()}{END_MARKER}The end.\n"
    assert replace_table(changed) == changed


@pytest.mark.parametrize(
    "page",
    ["", BEGIN_MARKER, END_MARKER + BEGIN_MARKER, 2 * (BEGIN_MARKER + END_MARKER)],
)
def test_page_without_its_two_comments_is_rejected(page):
    # Guards against a generator that deletes part of the page.
    with pytest.raises(ValueError, match="once each"):
        replace_table(page)
