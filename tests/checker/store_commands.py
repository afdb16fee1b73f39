"""Sequences of calls to a store and of the events that change it."""

from dataclasses import dataclass

from hypothesis import strategies as st

KEYS = ("a/1", "a/2", "b/1")


@dataclass(frozen=True, slots=True)
class Get:
    """A read of one key."""

    key: str


@dataclass(frozen=True, slots=True)
class List:
    """A read of all keys under a prefix."""

    prefix: str


@dataclass(frozen=True, slots=True)
class Commit:
    """A transaction.

    ``conditions`` maps keys to what is added to their present revision; None requires
    that the key does not exist. ``leases`` are indices of the leases that were opened,
    None for no lease.
    """

    conditions: tuple[tuple[str, int | None], ...]
    writes: tuple[tuple[str, bytes, int | None], ...]
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class TooLarge:
    """A transaction with more entries than the store accepts."""


@dataclass(frozen=True, slots=True)
class OpenLease:
    """A new lease."""

    ttl_s: float


@dataclass(frozen=True, slots=True)
class RenewLease:
    """A renewal of the lease with this index."""

    index: int


@dataclass(frozen=True, slots=True)
class EndLease:
    """The end of the lease with this index."""

    index: int


@dataclass(frozen=True, slots=True)
class Watch:
    """A watch from a revision that is ``behind`` the present one."""

    prefix: str
    behind: int
    wait_s: float


@dataclass(frozen=True, slots=True)
class Pass:
    """Time passes."""

    duration_s: float


@dataclass(frozen=True, slots=True)
class ForgetHistory:
    """The store drops its history."""


@dataclass(frozen=True, slots=True)
class Outage:
    """The store is down for a time; leases pause, and nobody calls."""

    duration_s: float


@dataclass(frozen=True, slots=True)
class Rejected:
    """A call that the store rejects."""

    call: "Call"


@dataclass(frozen=True, slots=True)
class Unanswered:
    """A call that is answered by nobody, and was carried out if ``is_executed``."""

    call: "Call"
    is_executed: bool


Call = Get | List | Commit | TooLarge | OpenLease | RenewLease | EndLease
Command = Call | Watch | Pass | ForgetHistory | Outage | Rejected | Unanswered

NAMES = st.sampled_from(KEYS)
PREFIXES = st.sampled_from(["", "a/", "b/", "c/"])
INDICES = st.integers(0, 2)
TIMES_S = st.sampled_from([0.5, 1.0, 2.0, 3.0])
CONDITIONS = st.one_of(st.just(0), st.just(0), st.just(-1), st.none())
WRITES = st.tuples(
    NAMES, st.sampled_from([b"", b"x", b"\xff\x00"]), st.one_of(st.none(), INDICES)
)
COMMITS = st.builds(
    Commit,
    st.dictionaries(NAMES, CONDITIONS, max_size=2).map(lambda c: tuple(c.items())),
    st.lists(WRITES, max_size=2, unique_by=lambda write: write[0]).map(tuple),
    st.sampled_from([(), (), ("a/1",), ("b/1", "a/2")]),
)
CALLS = st.one_of(
    COMMITS,
    COMMITS,
    COMMITS,
    st.builds(Get, NAMES),
    st.builds(List, PREFIXES),
    st.builds(OpenLease, st.sampled_from([1.0, 2.0, 5.0])),
    st.builds(RenewLease, INDICES),
    st.builds(EndLease, INDICES),
    st.just(TooLarge()),
)
COMMANDS = st.one_of(
    CALLS,
    CALLS,
    CALLS,
    st.builds(Watch, PREFIXES, st.integers(0, 3), st.sampled_from([0.5, 2.0])),
    st.builds(Pass, TIMES_S),
    st.one_of(st.just(ForgetHistory()), st.builds(Outage, TIMES_S)),
    st.builds(Rejected, CALLS),
    st.builds(Unanswered, CALLS, st.booleans()),
)
# Most sequences begin with keys that are bound to a lease.
BEGINS = st.sampled_from(
    [
        [],
        [OpenLease(2.0), Commit((("a/1", None),), (("a/1", b"x", 0), ("b/1", b"", 0)))],
    ]
)
SEQUENCES = st.builds(list.__add__, BEGINS, st.lists(COMMANDS, max_size=12))
