"""Which requests are retried, and which errors callers get."""

import asyncio
from functools import partial
from types import SimpleNamespace

import pytest

from sesamepost.errors import ErrorKind, RouterError
from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.evacuations import Evacuations
from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.coordination.nodes import (
    NODE_PREFIX,
    EndpointInfo,
    NodeEntry,
    NodeTable,
)
from sesamepost.internal.coordination.store import Item
from sesamepost.internal.forwarding import forwarder as forwarder_module
from sesamepost.internal.forwarding.calls import Call, Progress
from sesamepost.internal.forwarding.forwarder import Forwarder
from sesamepost.internal.forwarding.link_room import LinkFullError
from sesamepost.internal.forwarding.loads import LoadTracker
from sesamepost.internal.forwarding.messages import NO_KEY, Forward
from sesamepost.internal.forwarding.routes import Route, Share
from sesamepost.internal.ranges.placement import Placement
from sesamepost.internal.ranges.table import Owner, new_table
from sesamepost.internal.ranges.table_store import TableStore
from sesamepost.internal.wire.link import LinkScheduler
from sesamepost.internal.wire.messages import Answer
from tests.coordination.memory_store import MemoryStore

VMS = ("10.0.0.2", "10.0.0.3")
EVACUATION_PREFIX = "evacuate/"


class ScriptedForwarder(Forwarder):
    """Takes the results of attempts from a script instead of other nodes."""

    def __init__(self, partitioned: bool, script: list) -> None:
        self.script = script
        self.sent: list[tuple[str, Forward]] = []
        mirror = Mirror(MemoryStore())
        nodes = NodeTable(mirror)
        for index, vm in enumerate(VMS):
            endpoint = EndpointInfo("s", f"i-{vm}", 1, 2, "v1", True)
            region = f"r{index}"
            entry = NodeEntry(vm, vm, 1, 7600, f"a{index}", region, endpoint)
            mirror.offer(Item(NODE_PREFIX + vm, entry.encode(), index + 1))
        tables = TableStore(mirror.store, mirror, "s") if partitioned else None
        if tables:
            owners = [Owner(vm, f"i-{vm}", 1) for vm in VMS]
            table = new_table(owners)
            for index, key in enumerate(tables.keys):
                mirror.offer(Item(key, table.section(index).encode(), 9))
        loads = LoadTracker("a0", "r")
        placement = Placement(Evacuations(EVACUATION_PREFIX, mirror))
        super().__init__(
            "10.0.0.1", None, nodes, None, loads, lambda service: tables, placement
        )

    async def _run_on_peer(self, node: NodeEntry, request: Forward) -> Answer:
        self.sent.append((node.vm, request))
        result = self.script.pop(0)
        if isinstance(result, int):
            return Answer(0, result, [], b"", False)
        if result == "hang":
            await asyncio.Event().wait()
        raise RouterError(result)


def call(
    retryable: bool, key: int = NO_KEY, timeout_s: float = 2.0, regions: tuple = ()
) -> Call:
    shares = (Share("s", 1.0),)
    route = Route("r", "h", "/", retryable, 0, 0.8, 2, 1, shares, frozenset(regions))
    now = boottime()
    return Call(
        "id", route, "s", key, "POST", "/", [], b"", now + timeout_s, now + 0.8, 1, 7
    )


async def outcome(forwarder: Forwarder, request: Call) -> int | ErrorKind:
    try:
        return (await forwarder.run(request, Progress())).status
    except RouterError as error:
        return error.kind


@pytest.mark.parametrize("key", [NO_KEY, 5])
@pytest.mark.parametrize(
    "failure",
    [ErrorKind.OUTCOME_UNKNOWN, ErrorKind.ANSWER_CUT_OFF, ErrorKind.INTERNAL],
)
async def test_a_request_that_may_have_run_is_retried_only_if_its_route_allows_it(
    failure, key
):
    # Guards against running a request twice that must run once, such as a booking.
    forwarder = ScriptedForwarder(key != NO_KEY, [failure, 200])
    assert await outcome(forwarder, call(False, key)) is failure
    assert len(forwarder.sent) == 1
    forwarder = ScriptedForwarder(key != NO_KEY, [failure, 200])
    assert await outcome(forwarder, call(True, key)) == 200
    assert [request.retries for _, request in forwarder.sent] == [0, 1]


async def test_a_refused_request_goes_to_the_other_endpoint():
    forwarder = ScriptedForwarder(False, [ErrorKind.OVERLOADED, 200])
    assert await outcome(forwarder, call(False)) == 200
    assert [vm for vm, _ in forwarder.sent] == list(VMS)


async def test_a_refusal_after_an_unknown_outcome_is_not_reported_as_not_run():
    # The first attempt may have run, whatever the second endpoint reports.
    script = [ErrorKind.OUTCOME_UNKNOWN, ErrorKind.OVERLOADED]
    forwarder = ScriptedForwarder(False, script)
    assert await outcome(forwarder, call(True)) is ErrorKind.OUTCOME_UNKNOWN


async def test_a_failed_answer_is_returned_if_no_other_endpoint_succeeds():
    forwarder = ScriptedForwarder(False, [500, ErrorKind.OUTCOME_UNKNOWN])
    assert await outcome(forwarder, call(False)) == 500
    forwarder = ScriptedForwarder(False, [500, 200])
    assert await outcome(forwarder, call(True)) == 200


@pytest.mark.parametrize("key", [NO_KEY, 5])
@pytest.mark.parametrize("refusal", [ErrorKind.OVERLOADED, ErrorKind.NO_ENDPOINT])
async def test_a_failed_answer_is_returned_if_the_next_endpoint_refuses(refusal, key):
    # Guards against "not run" as the outcome of a request that one endpoint has run.
    script = [500, *[refusal] * 50]
    forwarder = ScriptedForwarder(key != NO_KEY, script)
    assert await outcome(forwarder, call(True, key)) == 500


async def test_a_request_reaches_no_more_endpoints_than_its_route_allows():
    script = [ErrorKind.OUTCOME_UNKNOWN] * 3
    forwarder = ScriptedForwarder(False, script)
    await outcome(forwarder, call(True))
    assert len(forwarder.sent) == 2


async def test_a_request_with_a_key_goes_only_to_the_owner():
    forwarder = ScriptedForwarder(True, [200, 200])
    assert await outcome(forwarder, call(True, 5)) == 200
    assert await outcome(forwarder, call(True, 65535)) == 200
    assert [vm for vm, _ in forwarder.sent] == list(VMS)


async def test_a_request_in_flight_at_the_deadline_has_an_unknown_outcome():
    forwarder = ScriptedForwarder(False, ["hang"])
    assert await outcome(forwarder, call(False, timeout_s=0.1)) is (
        ErrorKind.OUTCOME_UNKNOWN
    )


async def test_a_request_without_an_owner_is_refused_before_its_deadline():
    # Guards against callers that wait until their deadline for keys without an owner.
    forwarder = ScriptedForwarder(True, [])
    forwarder.nodes.nodes.clear()
    request = call(True, 5)
    assert await outcome(forwarder, request) is ErrorKind.OWNER_UNREACHABLE
    assert request.deadline - boottime() > 1.0


async def test_the_log_names_the_endpoint_at_which_a_request_met_its_deadline():
    # Guards against log lines that do not say where an unanswered request was.
    forwarder = ScriptedForwarder(False, ["hang"])
    progress = Progress()
    with pytest.raises(RouterError):
        await forwarder.run(call(False, timeout_s=0.1), progress)
    assert [step.split("@")[0] for step in progress.steps] == ["10.0.0.2:deadline"]


async def test_callers_that_are_refused_together_are_told_different_times():
    # Guards against refused callers that return all at once and are refused again.
    waits = []
    forwarder = ScriptedForwarder(True, [ErrorKind.OVERLOADED] * 3)
    for _ in range(3):
        progress = Progress()
        with pytest.raises(RouterError):
            await forwarder.run(call(False, 5, timeout_s=6.0), progress)
        waits.append(progress.retry_after_s)
    assert waits[0] + 0.05 < waits[1] < waits[2] - 0.05


@pytest.mark.parametrize(
    ("key", "expected"), [(NO_KEY, 500), (65535, 500), (5, ErrorKind.NO_ENDPOINT)]
)
async def test_a_request_and_its_retry_stay_in_the_allowed_regions(key, expected):
    # Guards against bodies that leave the allowed regions, also to the owner of a key.
    forwarder = ScriptedForwarder(key != NO_KEY, [500] * 9)
    assert await outcome(forwarder, call(True, key, regions=["r1"])) == expected
    assert {vm for vm, _ in forwarder.sent} <= {VMS[1]}


@pytest.mark.parametrize("key", [NO_KEY, 5])
async def test_requests_are_refused_at_once_if_all_endpoints_are_excluded(key):
    # Guards against callers that wait for an operator.
    forwarder = ScriptedForwarder(key != NO_KEY, [])
    forwarder.nodes.mirror.offer(Item(EVACUATION_PREFIX + "a1", b"{}", 20))
    request = call(True, key, regions=["r1", "nowhere"])
    assert await outcome(forwarder, request) is ErrorKind.NO_ENDPOINT
    assert request.deadline - boottime() > 1.8


async def test_a_full_link_is_not_asked_again_and_tells_when_to_return():
    # Guards against attempts at endpoints that have just said they have no room.
    forwarder = ScriptedForwarder(False, [200])
    forwarder.link_waits.note(VMS[0], "r", 1.5, boottime())
    assert await outcome(forwarder, call(False)) == 200
    assert [vm for vm, _ in forwarder.sent] == [VMS[1]]
    forwarder.link_waits.note(VMS[1], "r", 0.9, boottime())
    progress = Progress()
    with pytest.raises(RouterError) as refusal:
        await forwarder.run(call(False, timeout_s=6.0), progress)
    assert refusal.value.kind is ErrorKind.OVERLOADED
    assert 0.8 < progress.retry_after_s <= 0.9


async def test_a_call_ends_after_refusals_of_several_full_links(monkeypatch):
    # Guards against downloads that are offered to every endpoint while all are full.
    monkeypatch.setattr(forwarder_module, "MAX_FULL_LINKS", 1)
    forwarder = ScriptedForwarder(False, [ErrorKind.OVERLOADED, 200])
    run_on_peer = forwarder._run_on_peer

    async def refuse(node, request):
        forwarder.link_waits.note(node.vm, "r", 0.7, boottime())
        return await run_on_peer(node, request)

    forwarder._run_on_peer = refuse
    progress = Progress()
    with pytest.raises(RouterError) as refusal:
        await forwarder.run(call(False, timeout_s=6.0), progress)
    assert refusal.value.kind is ErrorKind.OVERLOADED
    assert len(forwarder.sent) == 1
    assert 0.6 < progress.retry_after_s <= 0.7
    assert forwarder.loads.load_of(VMS[0]).failure_share(boottime()) == 0


class UnsentRequests:
    """A pool whose only stream never sends the requests that it is given."""

    def __init__(self) -> None:
        self.link = SimpleNamespace(
            scheduler=LinkScheduler(), cancel=lambda message: True
        )
        self.sent: list = []
        self.writable = asyncio.Event()
        self.writable.set()
        self.is_open = True

    async def stream_to(self, address, node_id):
        return self

    def new_call(self):
        return 1, asyncio.get_running_loop().create_future()

    def forget_call(self, call_id: int) -> None:
        pass

    def send(self, message, link_class: int = 0):
        self.sent.append(message)
        return message


async def test_a_cancelled_request_that_waits_for_the_link_is_not_sent():
    # Guards against a request that runs after its caller has left, since its
    # cancellation overtook it on a narrow link.
    forwarder = ScriptedForwarder(False, [])
    forwarder.pool = UnsentRequests()
    forwarder._run_on_peer = partial(Forwarder._run_on_peer, forwarder)
    with pytest.raises(RouterError):
        await forwarder.run(call(False, timeout_s=0.1), Progress())
    assert [type(message) for message in forwarder.pool.sent] == [Forward]


async def test_a_full_link_of_this_node_is_no_failure_of_an_endpoint():
    # Guards against endpoints that are avoided since the caller's link is full.
    forwarder = ScriptedForwarder(False, [])

    async def refuse(node, request):
        raise LinkFullError("full", 0.8)

    forwarder._run_on_peer = refuse
    progress = Progress()
    with pytest.raises(RouterError):
        await forwarder.run(call(False, timeout_s=6.0), progress)
    assert progress.retry_after_s >= 0.8
    assert len(progress.steps) == 1
    assert all(forwarder.loads.load_of(vm).failure_share(boottime()) == 0 for vm in VMS)
