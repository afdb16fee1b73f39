"""Tokens that prove when a caller's first submission happened at the earliest."""

import re
from typing import NamedTuple

from expression import Error, Ok, Result

from sesamepost.errors import ErrorKind

MAX_BORN_AGE_S = 600.0
# The clocks of two VMs may differ by this much.
MAX_CLOCK_DIFFERENCE_S = 60.0

_TOKEN = re.compile(r"([0-9]{1,10})-([0-9]{1,11})")


class BornToken(NamedTuple):
    """The assignment version and the wall-clock time at which a token was issued."""

    version: int
    unix_s: int

    def __str__(self) -> str:
        return f"{self.version}-{self.unix_s}"


def issue_born_token(assignment_version: int, unix_now: float) -> str:
    """Return a token for a caller that has not submitted its request yet."""
    return str(BornToken(assignment_version, int(unix_now)))


def parse_born_token(text: str) -> Result[BornToken, ErrorKind]:
    """Return the token in ``text``."""
    match = _TOKEN.fullmatch(text)
    if match is None:
        return Error(ErrorKind.BAD_BORN_TOKEN)
    return Ok(BornToken(int(match[1]), int(match[2])))


def proves_first_submission(
    token: BornToken, coverage_epoch: int, unix_now: float
) -> bool:
    """Tell whether a request with this token and without a record never ran.

    A token from the future proves nothing: its issuer's clock was wrong by more than is
    allowed, so its age is unknown.
    """
    age_s = unix_now - token.unix_s
    return (
        token.version >= coverage_epoch
        and -MAX_CLOCK_DIFFERENCE_S <= age_s < MAX_BORN_AGE_S
    )
