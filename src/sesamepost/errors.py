"""The fixed set of error kinds and the answer that a caller gets for each.

Every answer that the router generates itself comes from ``ANSWERS``. The outcome in it
is a guarantee: ``NOT_RUN`` is used only if no byte of the request can have reached an
endpoint, or if the endpoint itself stated that it did not run the request.
"""

from dataclasses import dataclass
from enum import StrEnum

ERROR_HEADER = "Sesamepost-Error"
OUTCOME_HEADER = "Sesamepost-Outcome"


class Outcome(StrEnum):
    """Whether a request was executed, as far as the router knows."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class ErrorKind(StrEnum):
    """The reasons for which the router answers a request itself."""

    BAD_REQUEST = "bad_request"
    MISSING_SERVICE = "missing_service"
    MISSING_KEY = "missing_key"
    BAD_TIMEOUT = "bad_timeout"
    BAD_BORN_TOKEN = "bad_born_token"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_CLASS = "unknown_class"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    NOT_OWNER = "not_owner"
    NO_OWNER = "no_owner"
    OWNER_UNREACHABLE = "owner_unreachable"
    OVERLOADED = "overloaded"
    ENDPOINT_REFUSED = "endpoint_refused"
    ENDPOINT_UNREACHABLE = "endpoint_unreachable"
    DEADLINE_NOT_RUN = "deadline_not_run"
    SHUTTING_DOWN = "shutting_down"
    UNKNOWN_ROUTE = "unknown_route"
    NO_SETTINGS = "no_settings"
    NO_ENDPOINT = "no_endpoint"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ANSWER_CUT_OFF = "answer_cut_off"
    ANSWER_TOO_LARGE = "answer_too_large"
    DUPLICATE_UNKNOWN = "duplicate_unknown"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class Answer:
    """The HTTP status, outcome and explanatory text for one error kind."""

    status: int
    outcome: Outcome
    text: str


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(
        400, Outcome.NOT_RUN, "the request is malformed; correct it and send it again"
    ),
    ErrorKind.MISSING_SERVICE: Answer(
        400, Outcome.NOT_RUN, "the header Sesamepost-Service is missing"
    ),
    ErrorKind.MISSING_KEY: Answer(
        400, Outcome.NOT_RUN, "the header Sesamepost-Key is missing or empty"
    ),
    ErrorKind.BAD_TIMEOUT: Answer(
        400,
        Outcome.NOT_RUN,
        "Sesamepost-Timeout-Ms must be a whole number from 1 to 600000",
    ),
    ErrorKind.BAD_BORN_TOKEN: Answer(
        400,
        Outcome.NOT_RUN,
        "Sesamepost-Born must be a token that a daemon issued for this service",
    ),
    ErrorKind.UNKNOWN_SERVICE: Answer(
        404, Outcome.NOT_RUN, "no team's settings define this service"
    ),
    ErrorKind.UNKNOWN_CLASS: Answer(
        400, Outcome.NOT_RUN, "the settings of the service do not define this class"
    ),
    ErrorKind.BODY_TOO_LARGE: Answer(
        413, Outcome.NOT_RUN, "the request body is larger than 8 MiB"
    ),
    ErrorKind.HEADERS_TOO_LARGE: Answer(
        431, Outcome.NOT_RUN, "the request headers are larger than 32 KiB"
    ),
    ErrorKind.REQUEST_TIMEOUT: Answer(
        408, Outcome.NOT_RUN, "the rest of the request body did not arrive in time"
    ),
    ErrorKind.NOT_OWNER: Answer(
        503, Outcome.NOT_RUN, "the daemon does not own the key at this moment"
    ),
    ErrorKind.NO_OWNER: Answer(
        503, Outcome.NOT_RUN, "no endpoint owned the key before the deadline"
    ),
    ErrorKind.OWNER_UNREACHABLE: Answer(
        503, Outcome.NOT_RUN, "the owner's daemon was unreachable until the deadline"
    ),
    ErrorKind.OVERLOADED: Answer(
        503, Outcome.NOT_RUN, "a limit of the owner is reached; retry with a delay"
    ),
    ErrorKind.ENDPOINT_REFUSED: Answer(
        503, Outcome.NOT_RUN, "the endpoint refused the request without running it"
    ),
    ErrorKind.ENDPOINT_UNREACHABLE: Answer(
        503, Outcome.NOT_RUN, "no connection to the endpoint could be opened"
    ),
    ErrorKind.DEADLINE_NOT_RUN: Answer(
        503, Outcome.NOT_RUN, "the deadline passed before the request was sent"
    ),
    ErrorKind.SHUTTING_DOWN: Answer(
        503, Outcome.NOT_RUN, "this daemon is stopping; use another VM"
    ),
    ErrorKind.UNKNOWN_ROUTE: Answer(
        404, Outcome.NOT_RUN, "no route of this host begins the path"
    ),
    ErrorKind.NO_SETTINGS: Answer(
        503, Outcome.NOT_RUN, "the daemon has not read the routing settings yet"
    ),
    ErrorKind.NO_ENDPOINT: Answer(
        503, Outcome.NOT_RUN, "no endpoint of the service takes requests"
    ),
    ErrorKind.OUTCOME_UNKNOWN: Answer(
        504,
        Outcome.UNKNOWN,
        "the request was sent but its answer did not arrive; it may have run",
    ),
    ErrorKind.ANSWER_CUT_OFF: Answer(
        502, Outcome.UNKNOWN, "the endpoint's answer ended early; the request may run"
    ),
    ErrorKind.ANSWER_TOO_LARGE: Answer(
        502, Outcome.UNKNOWN, "the endpoint's answer is larger than 8 MiB"
    ),
    ErrorKind.DUPLICATE_UNKNOWN: Answer(
        409,
        Outcome.UNKNOWN,
        "no record proves that this idempotency key did not run before",
    ),
    ErrorKind.INTERNAL: Answer(
        500, Outcome.UNKNOWN, "the router failed; the request may have run"
    ),
}


class RouterError(Exception):
    """A failure of one of the error kinds, with an optional detail."""

    def __init__(self, kind: ErrorKind, detail: str = "") -> None:
        super().__init__(f"{kind}: {detail}" if detail else str(kind))
        self.kind = kind
        self.detail = detail

    @property
    def answer(self) -> Answer:
        """The answer that the caller gets for this failure."""
        return ANSWERS[self.kind]
