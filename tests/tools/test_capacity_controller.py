"""Guard against controller work on every load report of a large fleet."""

from contextlib import AsyncExitStack

from sesamepost.internal.balance.reports import report_interval_s
from sesamepost.tools.capacity.controller_steps import controller_daemon, report_of_node
from sesamepost.tools.capacity.design_size import node_id


async def test_an_unchanged_report_triggers_no_decision_round():
    # 50 rounds per second used a fifth of a core at 480 nodes and 24 services.
    async with AsyncExitStack() as stack:
        daemon = await controller_daemon(stack, 30, 3)
        controller = daemon.controller
        service = controller.loads.reports[node_id(7)].load.services[0].service
        controller.work_available.clear()
        planned_at = controller.planned_at["service-00"] = 5.0

        controller.receive(report_of_node(7, service))

        assert not controller.work_available.is_set()
        assert controller.planned_at["service-00"] == planned_at


async def test_a_report_of_another_endpoint_triggers_a_decision_round():
    async with AsyncExitStack() as stack:
        daemon = await controller_daemon(stack, 30, 3)
        controller = daemon.controller
        current = controller.loads.reports[node_id(7)].load.services[0].service
        other = next(s for s in daemon.views.services if s != current)
        controller.work_available.clear()
        controller.planned_at["service-00"] = 5.0

        controller.receive(report_of_node(7, other))

        assert controller.work_available.is_set()
        assert not controller.planned_at


async def test_a_service_is_planned_once_per_report_interval():
    # Planning all services every 2 s used a quarter of a core at 480 nodes.
    async with AsyncExitStack() as stack:
        daemon = await controller_daemon(stack, 120, 3)
        controller = daemon.controller
        assignment = daemon.views.assignments["service-00"]
        interval_s = report_interval_s(120)
        controller.planned_at["service-00"] = 100.0

        controller._plan(assignment, 100.0 + interval_s - 0.01)
        assert controller.planned_at["service-00"] == 100.0

        controller.leading_since = 0.0
        controller._plan(assignment, 100.0 + interval_s)
        assert controller.planned_at["service-00"] == 100.0 + interval_s
