"""The capacity of each node as input for the planner."""

from sesamepost.internal.balance.load_table import LoadTable
from sesamepost.internal.balance.plan import CapacityState, NodeCapacity
from sesamepost.internal.balance.reports import report_interval_s
from sesamepost.internal.documents.views import Views
from sesamepost.internal.identity import NodeId
from sesamepost.internal.membership.fleet import NodeRecord, NodeState
from sesamepost.internal.ownership.assignment import NO_OWNER, Assignment
from sesamepost.internal.settings.model import RestartPolicy, VmState

DRAINED_STATES = (VmState.DRAINED_FOR_DEPLOY, VmState.DRAINED_FOR_MAINTENANCE)


def capacities_of(
    service: str,
    views: Views,
    loads: LoadTable,
    assignment: Assignment,
    leading_for_s: float,
    unix_now: float,
) -> list[NodeCapacity]:
    """Return the capacity of every live node for one service.

    A new controller has received no load reports yet. Until every node has had time to
    send one, the present owners count as in service, so that a change of controller
    moves nothing.
    """
    owners = owners_of(assignment)
    reports_may_be_missing = leading_for_s < 2 * report_interval_s(len(views.fleet))
    settings = views.services[service]
    vm_states = views.branches_by_service[service].vms
    capacities = []
    for record in views.fleet.live_records():
        load = loads.service_load(record.node, service)
        state = _capacity_state(
            record, vm_states.get(record.node.vm, VmState.IN_SERVICE)
        )
        if load is None and record.node not in owners:
            continue
        if load is None:
            if not reports_may_be_missing:
                state = CapacityState.FAILING
            capacities.append(_capacity(record, settings.slots, state))
            continue
        if load.slots == 0:
            state = CapacityState.FAILING
        elif load.is_draining and state is CapacityState.IN_SERVICE:
            state = CapacityState.DRAINING
        capacities.append(
            _capacity(record, load.slots, state, load.cold_start_fraction)
        )
    capacities.extend(_unknown_owners(owners, views))
    capacities.extend(_restarting_owners(owners, views, loads, service, unix_now))
    return capacities


def owners_of(assignment: Assignment) -> set[NodeId]:
    """Return all nodes that own a partition or a hot key."""
    indexes = set(assignment.owners) - {NO_OWNER}
    indexes |= {entry.owner for entry in assignment.key_overrides.values()}
    return {assignment.nodes[index] for index in indexes}


def _unknown_owners(owners: set[NodeId], views: Views) -> list[NodeCapacity]:
    """Return the capacity of owners that are missing from the local fleet document.

    The two documents are read one after the other, so the local fleet may be older than
    the assignment. Such an owner may be alive: it is lost only once it is recorded as
    fenced.
    """
    return [
        NodeCapacity(node, "", "", 0, CapacityState.FAILING)
        for node in sorted(owners)
        if views.fleet.get(node) is None
    ]


def _restarting_owners(
    owners: set[NodeId], views: Views, loads: LoadTable, service: str, unix_now: float
) -> list[NodeCapacity]:
    """Return the capacity of owners whose VM is expected back from a planned restart.

    Under the restart policy ``wait``, an owner that resigned keeps its partitions until
    the next incarnation on its VM offers slots for the service or ``restart_wait_s``
    has passed.
    """
    branch = views.branches_by_service[service]
    if branch.restart is not RestartPolicy.WAIT:
        return []
    returned_vms = {
        record.node.vm
        for record in views.fleet.live_records()
        if _has_slots(loads, record.node, service)
    }
    capacities = []
    for node in sorted(owners):
        record = views.fleet.get(node)
        if record is None or not record.resigned or node.vm in returned_vms:
            continue
        if unix_now - record.fenced_at < branch.restart_wait_s:
            capacities.append(_capacity(record, 0, CapacityState.LEAVING))
    return capacities


def _has_slots(loads: LoadTable, node: NodeId, service: str) -> bool:
    """Return whether the node's endpoint can serve partitions.

    A newly announced endpoint has no grant yet and reports no slots.
    """
    load = loads.service_load(node, service)
    return load is not None and load.slots > 0


def _capacity(
    record: NodeRecord,
    slots: int,
    state: CapacityState,
    cold_start_fraction: float = 1.0,
) -> NodeCapacity:
    return NodeCapacity(
        record.node,
        record.failure_domain,
        record.region,
        slots * cold_start_fraction,
        state,
        slots,
    )


def _capacity_state(record: NodeRecord, vm_state: VmState) -> CapacityState:
    if record.state is NodeState.LEAVING:
        return CapacityState.LEAVING
    if vm_state in DRAINED_STATES:
        return CapacityState.DRAINING
    return CapacityState.IN_SERVICE
