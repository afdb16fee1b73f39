"""The reference page must match the table of settings."""

from pathlib import Path

from sesamepost.internal.settings.reference import generate_reference

PAGE = Path(__file__).parents[2] / "docs" / "settings.md"


def test_page_is_up_to_date():
    assert PAGE.read_text() == generate_reference(), (
        "run python -m sesamepost.internal.settings.reference docs/settings.md"
    )
