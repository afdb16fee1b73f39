"""Sequences of commands for workers, and the sockets over which they are sent."""

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

import aiohttp
from hypothesis import strategies as st

TIMEOUT_S = 5.0
COMPARED_HEADERS = ("Request-Id", "Not-Executed", "Handover", "Instance-Id")

# So few that ranges overlap and requests meet them.
KEYS = st.sampled_from([0, 1, 2, 65535])
FENCES = st.integers(1, 4)
HOLDS_S = st.sampled_from([0.5, 2.0, 5.0])


@dataclass(frozen=True, slots=True)
class Grant:
    """A proper grant."""

    first: int
    last: int
    fence: int
    hold_s: float
    handover: str

    @property
    def body(self) -> dict:
        """The body of the call."""
        body = {"from": self.first, "target": self.last, "fence": self.fence}
        body["holdS"] = self.hold_s
        return {**body, "handover": self.handover} if self.handover else body


@dataclass(frozen=True, slots=True)
class OddGrant:
    """A grant that is no proper call."""

    body: object


@dataclass(frozen=True, slots=True)
class Release:
    """A release of keys, whether they are held or not."""

    first: int
    last: int
    fence: int


@dataclass(frozen=True, slots=True)
class Begin:
    """A request, with the id of this worker or of another one, or without an own id."""

    key: int
    is_for_this: bool = True
    has_id: bool = True


@dataclass(frozen=True, slots=True)
class Finish:
    """The end of the work on the request at work with this index."""

    index: int


@dataclass(frozen=True, slots=True)
class Health:
    """A question for the health of the worker."""


@dataclass(frozen=True, slots=True)
class Drain:
    """The worker begins to leave."""


@dataclass(frozen=True, slots=True)
class Pass:
    """Time passes."""

    duration_s: float


@dataclass(frozen=True, slots=True)
class Beat:
    """The worker sends a heartbeat; ``is_lost`` says that it gets no answer.

    ``ranges`` are rows of the first key, the last key, the fence and the handover
    token, or None if the answer renews nothing.
    """

    ranges: tuple[tuple[int, int, int, str], ...] | None
    hold_s: float
    is_lost: bool = False


Command = Grant | OddGrant | Release | Begin | Finish | Health | Drain | Pass | Beat


@st.composite
def spans(draw: st.DrawFn) -> tuple[int, int]:
    """Return the first and the last key of a range."""
    first, last = sorted((draw(KEYS), draw(KEYS)))
    return first, last


TOKENS = st.sampled_from(["", "token"])
ODD_GRANTS = st.sampled_from(
    [
        None,
        [],
        {},
        {"from": 0, "target": 9, "fence": 1},
        {"from": 0, "target": 9, "holdS": 1.0},
        {"from": 9, "target": 0, "fence": 1, "holdS": 1.0},
        {"from": -1, "target": 0, "fence": 1, "holdS": 1.0},
        {"from": 0, "target": 65536, "fence": 1, "holdS": 1.0},
        {"from": 0, "target": 9, "fence": "1", "holdS": 1.0},
        {"from": 0, "target": 9, "fence": 1, "holdS": -1.0},
        {"from": 0, "target": 9, "fence": 1.5, "holdS": 1.0},
        {"from": True, "target": 9, "fence": 1, "holdS": 1.0},
    ]
).map(OddGrant)
GRANTS = st.builds(
    lambda span, fence, hold_s, token: Grant(*span, fence, hold_s, token),
    spans(),
    FENCES,
    HOLDS_S,
    TOKENS,
)
RELEASES = st.builds(lambda span, fence: Release(*span, fence), spans(), FENCES)
REQUESTS = st.one_of(
    st.builds(Begin, KEYS),
    st.builds(Begin, KEYS),
    st.builds(Begin, KEYS, st.booleans(), st.booleans()),
    st.builds(Finish, st.integers(0, 3)),
)
TIMES = st.builds(Pass, st.sampled_from([0.1, 0.5, 1.0, 2.0, 5.0]))
OTHERS = st.sampled_from([Health(), Drain()])


@st.composite
def orders(draw: st.DrawFn) -> Beat:
    """Return a heartbeat whose answer orders ranges that do not overlap."""
    if draw(st.integers(0, 5)) == 0:
        return Beat(None, 0.0, draw(st.booleans()))
    bounds = sorted(draw(st.sets(KEYS, max_size=6)))
    pairs = zip(bounds[::2], bounds[1::2], strict=False)
    ranges = tuple((first, last, draw(FENCES), draw(TOKENS)) for first, last in pairs)
    return Beat(ranges, draw(HOLDS_S), draw(st.integers(0, 5)) == 0)


# Most sequences begin with keys that are held and a request at work on one of them.
CALL_BEGINS = st.sampled_from(
    [[], [Grant(0, 2, 2, 5.0, "")], [Grant(0, 2, 2, 5.0, ""), Begin(1)]]
)
HEARTBEAT_BEGINS = st.sampled_from(
    [
        [],
        [Beat(((0, 2, 2, ""),), 5.0)],
        [Beat(((0, 0, 3, ""), (1, 2, 2, "")), 5.0), Begin(1)],
    ]
)
CALL_SEQUENCES = st.builds(
    list.__add__,
    CALL_BEGINS,
    st.lists(
        st.one_of(GRANTS, RELEASES, RELEASES, REQUESTS, TIMES, OTHERS, ODD_GRANTS),
        max_size=12,
    ),
)
HEARTBEAT_SEQUENCES = st.builds(
    list.__add__,
    HEARTBEAT_BEGINS,
    st.lists(
        st.one_of(orders(), orders(), REQUESTS, TIMES, OTHERS, GRANTS, RELEASES),
        max_size=12,
    ),
)


@dataclass(frozen=True, slots=True)
class Reply:
    """What is compared of an answer."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: str = ""


class Side(Protocol):
    """A worker behind a socket."""

    worker_id: str
    url: str

    def reset(self) -> None:
        """Forget everything, as another life of the worker does."""

    def has_begun(self, request_id: str) -> bool:
        """Return whether the worker has begun to work on a request."""

    def count_releases(self) -> int:
        """Return how many releases wait for requests at work."""

    def finish(self, request_id: str) -> None:
        """End the work on a request."""

    def expire(self) -> None:
        """End the holds and the work whose time has run out."""

    def drain(self) -> None:
        """Begin to leave."""

    def heartbeat(self) -> dict:
        """Return the next heartbeat."""

    def take_answer(self, answer: dict, sent_at: float) -> bool:
        """Take an answer; return whether the next heartbeat is due at once."""


async def post(session: aiohttp.ClientSession, url: str, body: object) -> Reply:
    """Send a command and return the reply."""
    async with session.post(url, json=body) as response:
        return await _reply(response)


async def get(
    session: aiohttp.ClientSession, url: str, headers: dict[str, str]
) -> Reply:
    """Send a request and return the reply."""
    async with session.get(url, headers=headers) as response:
        return await _reply(response)


async def _reply(response: aiohttp.ClientResponse) -> Reply:
    headers = {
        name: response.headers[name]
        for name in COMPARED_HEADERS
        if name in response.headers
    }
    text = await response.text()
    return Reply(response.status, headers, text if response.status == 200 else "")


async def until(condition) -> None:
    """Wait until the other side of a socket has got as far as that."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.001)
