"""A caller's request and the attempts to run it."""

from dataclasses import dataclass, field

from sesamepost.errors import ANSWERS, ErrorKind, Outcome, RouterError
from sesamepost.internal.coordination.nodes import NodeEntry
from sesamepost.internal.forwarding.routes import Route
from sesamepost.internal.wire.messages import Answer

MIN_RETRY_AFTER_S = 0.3


@dataclass(slots=True)
class Call:
    """A caller's request.

    ``deadline`` and ``target_at`` are times in seconds on the clock of
    ``sesamepost.internal.clock``.
    """

    request_id: str
    route: Route
    service: str
    key: int
    method: str
    target: str
    headers: list
    body: bytes
    deadline: float
    target_at: float
    rank: int
    settings_version: int


@dataclass(slots=True)
class Progress:
    """The attempts to run one call, and what is known about their outcome.

    ``basis`` is the information behind the last choice of a node: the revision of the
    range table, or the age of the load that the endpoint reported.
    """

    tried: set[str] = field(default_factory=set)
    reached: set[str] = field(default_factory=set)
    steps: list[str] = field(default_factory=list)
    basis: str = ""
    retries: int = 0
    full_links: int = 0
    waited_s: float = 0.0
    may_have_run: bool = False
    # The node to which the request was sent last, until its outcome is known.
    sent_to: NodeEntry | None = None
    retry_after_s: float = MIN_RETRY_AFTER_S
    # Whether ``retry_after_s`` differs from that of other refused callers.
    is_return_spread: bool = False
    failed_answer: Answer | None = None

    def add_step(self, node: NodeEntry, outcome: str) -> None:
        """Record the outcome of one attempt for the log."""
        self.steps.append(f"{node.name}:{outcome}@{self.basis}")

    def add_interrupted_step(self, outcome: str) -> None:
        """Record for the log where the request was when it was given up."""
        if self.sent_to is not None:
            self.add_step(self.sent_to, outcome)

    def error(self, kind: ErrorKind, detail: str = "") -> RouterError:
        """Return the final error, which must hold for all attempts together."""
        if self.may_have_run and ANSWERS[kind].outcome is Outcome.NOT_RUN:
            return RouterError(
                ErrorKind.OUTCOME_UNKNOWN,
                f"a later attempt failed with {kind}: {detail}",
            )
        return RouterError(kind, detail)
