"""The membership task: joins the fleet, renews the lease and acts as a witness."""

import asyncio
from collections import Counter
from collections.abc import Collection

import structlog

from sesamepost.internal.clock import boottime
from sesamepost.internal.controller.link import ControllerLink
from sesamepost.internal.documents.replicator import DocumentReplicator
from sesamepost.internal.documents.views import FLEET_DOCUMENT, Views
from sesamepost.internal.identity import NodeId
from sesamepost.internal.lease.holder import LeaseHolder, Proposal
from sesamepost.internal.lease.messages import (
    Promise,
    Renew,
    Renewed,
    RenewRefused,
)
from sesamepost.internal.lease.witness import Witness
from sesamepost.internal.membership.fleet import NodeRecord
from sesamepost.internal.membership.messages import (
    ChangeWitnesses,
    Join,
    Leave,
    Resign,
)
from sesamepost.internal.membership.witness_choice import choose_witnesses
from sesamepost.internal.wire.pool import PeerPool
from sesamepost.internal.wire.stream import PeerStream, StreamClosedError

TICK_S = 0.1
CONTROLLER_REPEAT_INTERVAL_S = 0.5
MIN_WITNESS_CHOICE_INTERVAL_S = 2.0
# Early enough to renew on a new connection before the lease of 1.5 s expires.
REDIAL_DELAY_S = 0.6
REDIAL_INTERVAL_S = 1.0

log = structlog.get_logger()


class Membership:
    """Keeps this node in the fleet document and its lease renewed.

    ``fenced`` is set when this incarnation is recorded as fenced; the process must then
    continue under a new incarnation.
    """

    def __init__(
        self,
        own_record: NodeRecord,
        pool: PeerPool,
        views: Views,
        link: ControllerLink,
        replicator: DocumentReplicator,
    ) -> None:
        self.own_record = own_record
        self.node: NodeId = own_record.node
        self.pool = pool
        self.views = views
        self.link = link
        self.replicator = replicator
        self.holder = LeaseHolder(own_record.node)
        self.witness = Witness(own_record.node)
        self.counters: Counter[str] = Counter()
        self.fenced = asyncio.Event()
        self.joined = asyncio.Event()
        self.leaving = False
        self.lease_was_valid = False
        self.last_sent_to_controller_at = float("-inf")
        self.last_choice_at = float("-inf")
        self.examined_fleet_version = 0
        self.redialed_at: dict[NodeId, float] = {}
        self.tasks: set[asyncio.Task] = set()
        pool.on(Renew, self._on_renew)
        pool.on(Renewed, self._on_renewed)
        pool.on(RenewRefused, self._on_refused)
        pool.on(Promise, self._on_promise)
        self.subscription = views.changed.subscribe(self._on_document)

    async def run(self) -> None:
        """Renew the lease, report suspects and replace witnesses; never returns."""
        while True:
            self.tick(boottime())
            await asyncio.sleep(TICK_S)

    def tick(self, now: float) -> None:
        """Send all messages that are due at ``now``."""
        digest = self.views.replica.digest
        for witness in self.holder.unanswered_for(now, REDIAL_DELAY_S):
            self._redial(witness, now)
        for renew in self.holder.renewals_due(now, digest):
            self._send_to(renew.witness, renew)
        for suspect in self.witness.suspects_due(now):
            self.counters["suspects_sent"] += 1
            self.link.send(suspect)
        self._update_lease_validity(now)
        if now - self.last_sent_to_controller_at < CONTROLLER_REPEAT_INTERVAL_S:
            return
        if self.views.fleet.get(self.node) is None:
            self._ask_to_join(now)
        elif self.holder.resigned:
            self._send_to_controller(Resign(self.node), now)
        elif self.leaving:
            self._send_to_controller(Leave(self.node), now)
        else:
            self._maintain_witnesses(now)

    @property
    def has_all_witnesses(self) -> bool:
        """Whether the record has as many witnesses as the fleet allows."""
        recorded = self.holder.recorded
        if recorded is None or self.holder.proposals:
            return False
        return len(recorded.witnesses) >= len(self._choose())

    def leave(self) -> None:
        """Start asking the controller to move this node's partitions away."""
        self.leaving = True

    def resign(self) -> None:
        """Give up the lease and ask to be fenced; call it when serving has ended."""
        self.holder.resign()
        self._update_lease_validity(boottime())
        self._send_to_controller(Resign(self.node), boottime())

    def _update_lease_validity(self, now: float) -> None:
        is_valid = self.holder.is_valid(now)
        if is_valid != self.lease_was_valid:
            log.info(
                "lease_valid" if is_valid else "lease_invalid", node=str(self.node)
            )
            self.lease_was_valid = is_valid
            self.counters["lease_lapses"] += not is_valid

    def _ask_to_join(self, now: float) -> None:
        controller = self.views.controller
        if controller is None:
            return
        if self.views.fleet.version == 0 and controller.node != self.node:
            # A lease without witnesses never expires. Only the first node, which is the
            # controller, may hold one; other nodes wait for the fleet document.
            return
        proposal = self.holder.wanted_set()
        if proposal is None:
            proposal = self.holder.propose(self._choose())
        self._send_to_controller(
            Join(
                self.node,
                *self.own_record.address,
                self.own_record.failure_domain,
                self.own_record.region,
                proposal.witnesses,
                proposal.sequence,
            ),
            now,
        )

    def _maintain_witnesses(self, now: float) -> None:
        if self.holder.fenced:
            return
        wanted = self.holder.wanted_set()
        if self.holder.is_prepared(now):
            self._propose_prepared()
        elif not self.holder.proposals:
            self._prepare_change(wanted, now)
        if self.holder.proposals:
            wanted = self.holder.wanted_set()
            change = ChangeWitnesses(self.node, wanted.witnesses, wanted.sequence)
            self._send_to_controller(change, now)

    def _prepare_change(self, wanted: Proposal, now: float) -> None:
        """Choose other witnesses if some are lost or the fleet offers better ones.

        A node that joined a small fleet may have all its witnesses in another region.
        A prepared set that has not answered yet is replaced by another choice. The
        caller makes no choice while a proposal is open: during a long network
        partition from the controller none would be recorded, and each would need
        renewals.
        """
        if now - self.last_choice_at < MIN_WITNESS_CHOICE_INTERVAL_S:
            return
        lost = set(self.holder.witnesses_to_replace(now))
        lost |= {w for w in wanted.witnesses if self.views.fleet.live(w) is None}
        fleet_version = self.views.fleet.version
        is_examined = fleet_version == self.examined_fleet_version
        if is_examined and not lost and not self.holder.prepared:
            return
        self.examined_fleet_version = fleet_version
        self.last_choice_at = now
        kept = set(wanted.witnesses) - lost
        unresponsive = set(self.holder.prepared) - kept
        chosen = self._choose(avoid=lost | unresponsive, keep=kept)
        if set(chosen) == set(wanted.witnesses):
            self.holder.prepare(())
        elif set(chosen) == set(self.holder.prepared) and (
            self.holder.is_majority_prepared(now)
        ):
            # There is no better choice, as in a small fleet with one lost node.
            self._propose_prepared()
        else:
            self.holder.prepare(chosen)

    def _propose_prepared(self) -> None:
        self.holder.propose(self.holder.prepared)
        self.counters["witness_changes"] += 1
        log.info("witnesses_proposed", node=str(self.node))

    def _choose(
        self, avoid: Collection[NodeId] = (), keep: Collection[NodeId] = ()
    ) -> tuple[NodeId, ...]:
        return choose_witnesses(
            self.views.fleet,
            self.node,
            self.own_record.failure_domain,
            self.own_record.region,
            avoid,
            keep,
        )

    def _on_document(self, name: str) -> None:
        if name != FLEET_DOCUMENT:
            return
        fleet = self.views.fleet
        self.holder.observe(fleet)
        self.witness.observe(fleet, boottime())
        if fleet.get(self.node) is not None:
            self.joined.set()
        if self.holder.fenced and not self.fenced.is_set():
            log.warning("node_fenced", node=str(self.node))
            self.fenced.set()

    def _on_renew(self, stream: PeerStream, message: Renew) -> None:
        digest = self.views.replica.digest
        stream.send(self.witness.receive_renew(message, digest, boottime()))
        self.replicator.compare(stream, message.digest)

    def _on_renewed(self, stream: PeerStream, message: Renewed) -> None:
        self.holder.receive_renewed(message)
        self.replicator.compare(stream, message.digest)

    def _on_refused(self, stream: PeerStream, message: RenewRefused) -> None:
        self.counters["renewals_refused"] += 1
        self.holder.receive_refused(message)
        # The witness may have refused because it has not seen this node's record yet.
        self.replicator.exchange(stream)

    def _on_promise(self, stream: PeerStream, message: Promise) -> None:
        stream.send(self.witness.receive_promise(message, boottime()))

    def _send_to_controller(self, message, now: float) -> None:
        self.last_sent_to_controller_at = now
        self.link.send(message)

    def _send_to(self, node: NodeId, message) -> None:
        stream = self.pool.streams.get(node)
        if stream is not None and stream.is_open:
            stream.send(message)
            return
        address = self.views.address_of(node)
        if address is None:
            return
        self._start_task(self._dial_and_send(address, node, message))

    def _start_task(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _redial(self, node: NodeId, now: float) -> None:
        """Renew on a new connection, in case the present one is unresponsive."""
        address = self.views.address_of(node)
        last_redial_at = self.redialed_at.get(node, float("-inf"))
        if address is None or now - last_redial_at < REDIAL_INTERVAL_S:
            return
        self.redialed_at[node] = now
        self.counters["redials"] += 1
        self._start_task(self._reconnect(address, node))

    async def _reconnect(self, address, node: NodeId) -> None:
        try:
            await self.pool.redial(address, node)
        except StreamClosedError:
            return
        self.holder.renew_soon(node)

    async def _dial_and_send(self, address, node: NodeId, message) -> None:
        try:
            stream = await self.pool.stream_to(address, node)
            stream.send(message)
        except StreamClosedError:
            self.counters["renewals_not_sent"] += 1
