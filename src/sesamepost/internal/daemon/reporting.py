"""Reports the load and state of this node to the controller."""

import asyncio
import random

from sesamepost.internal.balance.reports import (
    NodeLoad,
    ReleasedItem,
    ReleasedKind,
    ServiceLoad,
    build_report,
    measure_service,
    report_interval_s,
)
from sesamepost.internal.balance.sketch import LoadCounters
from sesamepost.internal.clock import boottime
from sesamepost.internal.controller.link import ControllerLink
from sesamepost.internal.dispatch.dispatcher import Dispatcher
from sesamepost.internal.dispatch.served import ServedEndpoint
from sesamepost.internal.documents.views import (
    CONTROLLER_DOCUMENT,
    SETTINGS_PREFIX,
    Views,
)
from sesamepost.internal.identity import NodeId
from sesamepost.internal.ownership.items import Item

TICK_S = 0.2
ADVANCE_INTERVAL_S = 1.0
# After a change of controller or settings, each node reports after a random time of up
# to this value times the number of nodes, so that 480 reports do not arrive at once.
JITTER_S_PER_NODE = 0.002
PARTIAL_REPORTS_BETWEEN_FULL = 20


class Reporter:
    """Counts requests and sends load reports.

    A changed endpoint is reported immediately, since partitions may have to move.
    """

    def __init__(
        self, node: NodeId, views: Views, dispatcher: Dispatcher, link: ControllerLink
    ) -> None:
        self.node = node
        self.views = views
        self.dispatcher = dispatcher
        self.link = link
        self.counters: dict[str, LoadCounters] = {}
        self.next_report = 0.0
        self.advanced_at = 0.0
        self.endpoint_states: list = []
        self.reported_versions: dict[str, int] = {}
        self.reports_until_full = 0
        dispatcher.on_request = self._on_request
        self.subscription = views.changed.subscribe(self._on_document)

    async def run(self) -> None:
        """Send reports when they are due; never return."""
        while True:
            self.tick(boottime())
            await asyncio.sleep(TICK_S)

    def tick(self, now: float) -> None:
        """Advance the counters and send a report if one is due."""
        if now - self.advanced_at >= ADVANCE_INTERVAL_S:
            self.advanced_at = now
            for counters in self.counters.values():
                counters.advance(now)
        endpoint_states = [
            (service, endpoint.may_own(now), endpoint.is_draining)
            for service, endpoint in self.dispatcher.endpoints.items()
        ]
        if endpoint_states == self.endpoint_states and now < self.next_report:
            return
        self.endpoint_states = endpoint_states
        self.next_report = now + report_interval_s(len(self.views.fleet))
        self.link.send(build_report(self._node_load(now, self._versions_to_report())))

    def _versions_to_report(self) -> dict[str, int]:
        """Return the versions changed since the last report, and periodically all.

        35 versions take 950 bytes, which 480 nodes send to one controller. The full
        list makes up for lost reports and informs a new controller.
        """
        in_force = dict(self.views.in_force)
        self.reports_until_full -= 1
        if self.reports_until_full < 0 or not self.link.reached_controller:
            self.reports_until_full = PARTIAL_REPORTS_BETWEEN_FULL
            changed = in_force
        else:
            changed = {
                name: version
                for name, version in in_force.items()
                if self.reported_versions.get(name) != version
            }
        self.reported_versions = in_force
        return changed

    def _node_load(self, now: float, versions: dict[str, int]) -> NodeLoad:
        return NodeLoad(
            self.node,
            tuple(
                self._service_load(service, endpoint, now)
                for service, endpoint in self.dispatcher.endpoints.items()
            ),
            tuple(
                ReleasedItem(
                    item.service,
                    ReleasedKind.KEY if item.is_key else ReleasedKind.PARTITION,
                    item.number,
                    epoch,
                )
                for item, epoch in self.dispatcher.releases.released()
            ),
            versions,
        )

    def _service_load(
        self, service: str, endpoint: ServedEndpoint, now: float
    ) -> ServiceLoad:
        return measure_service(
            service,
            self._counters_of(service),
            endpoint.slots if endpoint.may_own(now) else 0,
            endpoint.gate.used,
            endpoint.longest_in_flight_s(),
            endpoint.cold_start_fraction(now),
            endpoint.is_draining,
        )

    def _counters_of(self, service: str) -> LoadCounters:
        counters = self.counters.get(service)
        if counters is None:
            # The assignment takes precedence over the settings, since a service that
            # was removed and defined again keeps its number of partitions there.
            assignment = self.views.assignments.get(service)
            partitions = self.views.services[service].partitions
            if assignment is not None:
                partitions = len(assignment)
            counters = LoadCounters(partitions, boottime())
            self.counters[service] = counters
        return counters

    def _on_request(self, item: Item, key_hash: int) -> None:
        counters = self.counters.get(item.service)
        if counters is None:
            counters = self._counters_of(item.service)
        if item.is_key:
            counters.record_override(key_hash)
        else:
            counters.record(key_hash)

    def forget(self, item: Item) -> None:
        """Discard the load of a released item."""
        counters = self.counters.get(item.service)
        if counters is None:
            return
        if item.is_key:
            counters.forget_key(item.number)
        else:
            counters.forget_partition(item.number)

    def _on_document(self, name: str) -> None:
        if name == CONTROLLER_DOCUMENT:
            self.reports_until_full = 0
        if name == CONTROLLER_DOCUMENT or name.startswith(SETTINGS_PREFIX):
            jitter_s = random.uniform(0, JITTER_S_PER_NODE * len(self.views.fleet))
            self.next_report = min(self.next_report, boottime() + jitter_s)
