"""Tokens that give the earliest possible time of a caller's first submission.

A caller obtains a token before it submits a request for the first time and sends it
with the request in the ``Sesamepost-Born`` header.
"""

import re
from typing import NamedTuple

from expression import Error, Ok, Result

from sesamepost.errors import ErrorKind

MAX_BORN_AGE_S = 600.0
# The largest difference between the clocks of two VMs that is tolerated.
MAX_CLOCK_DIFFERENCE_S = 60.0

_TOKEN = re.compile(r"([0-9]{1,10})-([0-9]{1,11})")


class BornToken(NamedTuple):
    """The assignment version and the wall-clock time at which a token was issued."""

    version: int
    unix_s: int

    def __str__(self) -> str:
        return f"{self.version}-{self.unix_s}"


def issue_born_token(assignment_version: int, unix_now: float) -> str:
    """Return a token for a request that has not been submitted yet."""
    return str(BornToken(assignment_version, int(unix_now)))


def parse_born_token(text: str) -> Result[BornToken, ErrorKind]:
    """Parse ``text`` as a token."""
    match = _TOKEN.fullmatch(text)
    if match is None:
        return Error(ErrorKind.BAD_BORN_TOKEN)
    return Ok(BornToken(int(match[1]), int(match[2])))


def proves_first_submission(
    token: BornToken, coverage_epoch: int, unix_now: float
) -> bool:
    """Return whether a request with this token and without a record cannot have run.

    A token from more than ``MAX_CLOCK_DIFFERENCE_S`` in the future proves nothing: its
    issuer's clock was off by more than is tolerated, so its age is unknown.
    """
    age_s = unix_now - token.unix_s
    return (
        token.version >= coverage_epoch
        and -MAX_CLOCK_DIFFERENCE_S <= age_s < MAX_BORN_AGE_S
    )
