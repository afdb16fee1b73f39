"""What a worker of the checker did, as it is reported to the observer.

All times are in seconds on the clock of the checker.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GrantTaken:
    """A life holds keys from ``at`` until ``until``, unless it releases them.

    ``arrived_at`` is when the grant had reached the worker, which is earlier than
    ``at`` if it was carried out late.
    """

    life: tuple[str, int]
    at: float
    first: int
    last: int
    fence: int
    until: float
    handover: str
    arrived_at: float


@dataclass(frozen=True, slots=True)
class GrantRefused:
    """A life has seen a higher fence on one of the keys."""

    life: tuple[str, int]
    at: float
    first: int
    last: int
    fence: int


@dataclass(frozen=True, slots=True)
class KeysReleased:
    """A life begins no more requests on these keys; earlier ones may still run."""

    life: tuple[str, int]
    at: float
    first: int
    last: int


@dataclass(frozen=True, slots=True)
class HandoverReady:
    """No request runs any longer on the keys of a release."""

    life: tuple[str, int]
    at: float
    first: int
    last: int
    handover: str


@dataclass(frozen=True, slots=True)
class HoldEnded:
    """The time of a hold has run out at ``at``."""

    life: tuple[str, int]
    at: float
    first: int
    last: int
    fence: int


@dataclass(frozen=True, slots=True)
class RequestBegun:
    """A life began to work on a request."""

    life: tuple[str, int]
    at: float
    request_id: str
    key: int


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """The work on a request ended with a status; 500 if it outlasted its hold."""

    life: tuple[str, int]
    at: float
    request_id: str
    key: int
    status: int


@dataclass(frozen=True, slots=True)
class LifeEnded:
    """The process of a worker has ended, and all that it held."""

    life: tuple[str, int]
    at: float


Event = (
    GrantTaken
    | GrantRefused
    | KeysReleased
    | HandoverReady
    | HoldEnded
    | RequestBegun
    | RequestEnded
    | LifeEnded
)
