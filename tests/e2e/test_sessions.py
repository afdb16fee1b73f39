"""Sessions whose transcripts, as callers and operators see them, are golden files."""

import random
from contextlib import asynccontextmanager

from sesamepost.internal.daemon import daemon as daemon_module
from sesamepost.internal.membership.fleet import NodeState
from sesamepost.internal.settings.edit import set_vm_state
from sesamepost.internal.settings.model import VmState
from tests.e2e.local import WAIT_TIMEOUT_S, running_fleet
from tests.e2e.test_failures import crash, key_owned_by
from tests.e2e.transcript import Transcript, bind_vm, recorded_logs

SEED = 20
VMS = 4
# A node takes part in balance moves 10 s after its first report, and how far a session
# has come by then depends on the speed of the machine. The weight of imbalance is
# therefore 0. New nodes still get their first partitions, and drained ones lose theirs.
BRANCH = """\
[team]
weight_imbalance = 0

[service:ledger]
partitions = 16
slots = 4
timeout_ms = 10000
"""
CHANGED_BRANCH = BRANCH + "queue_length = 99\n"


class Session:
    """A fleet and the transcript of the actions on it."""

    def __init__(self, fleet, transcript):
        self.fleet = fleet
        self.transcript = transcript
        self.random = random.Random(SEED)
        self.branch = BRANCH
        self.version = 1

    @property
    def vms(self):
        return [vm for vm in self.fleet.vms if not vm.run_task.done()]

    async def start_vms(self):
        for number in range(VMS):
            with self.transcript.step(f"vm-{number} starts"):
                with bind_vm(f"vm-{number}"):
                    vm = await self.fleet.add(f"vm-{number}", f"fd-{number}")
                # The rates of a dozen requests decay between two reports, so the
                # partitions that a drain assigns to each VM would depend on the time of
                # the last report. Without rates, all partitions have the same weight.
                vm.daemon.dispatcher.on_request = lambda item, key_hash: None
                await self.wait_until_settled()
                await self.transcript.status(self.vms)

    async def wait_until_settled(self, owners=None):
        """Wait until the daemons agree, all ``owners`` own, and no move is pending."""
        names = owners or {vm.daemon.node.vm for vm in self.vms}
        await self.fleet.wait_until(lambda: self.is_settled(names))

    def is_settled(self, owners):
        daemons = [vm.daemon for vm in self.vms]
        first = daemons[0].views
        if any(
            daemon.replica.digest != daemons[0].replica.digest for daemon in daemons
        ):
            return False
        view = first.assignments.get("ledger")
        if view is None or {node.vm for node in self.fleet.owners(view)} != owners:
            return False
        leaders = [d for d in daemons if d.leadership.is_leader]
        if len(leaders) != 1 or first.controller.node != leaders[0].node:
            return False
        controller = leaders[0].controller
        if not all(self._has_announced(daemon) for daemon in daemons):
            return False
        return not controller.pending.moves and all(map(self._is_member, daemons))

    def is_without_store(self):
        """Return whether the outage is noticed and the controller's lease has ended."""
        daemons = [vm.daemon for vm in self.vms]
        return not self.fleet.store.leases and not any(
            daemon.leadership.is_leader or daemon.reader.is_current
            for daemon in daemons
        )

    def _has_announced(self, daemon):
        """Return whether the endpoint has a grant under the settings in force."""
        endpoint = daemon.dispatcher.endpoints.get("ledger")
        return (
            endpoint is not None
            and endpoint.settings == daemon.views.services["ledger"]
            and endpoint.has_grant
        )

    def _is_member(self, daemon):
        member, fleet = daemon.membership, daemon.views.fleet
        record = fleet.get(daemon.node)
        if record is None or record.state is not NodeState.ACTIVE:
            return False
        count = 3 if len(list(fleet.live_records())) > 3 else min(1, len(fleet) - 1)
        return (
            len(record.witnesses) == count
            and all(fleet.live(witness) for witness in record.witnesses)
            and not member.holder.proposals
            and not member.holder.prepared
            and member.examined_fleet_version == fleet.version
            and member.lease_was_valid
        )

    async def send_requests(self, count, prefix):
        for number in range(count):
            vm = self.random.choice(self.vms)
            await self.transcript.send(
                vm, f"key-{number}", X_Request_Id=f"{prefix}-{number}"
            )

    async def put(self, text):
        self.version = await self.fleet.put("team", text, self.version)
        self.transcript.add(f"settings/team is written as version {self.version}")
        return self.version

    async def set_state(self, vm, state):
        self.branch = set_vm_state(self.branch, vm, state)
        await self.put(self.branch)
        await self.wait_until_in_force()

    async def wait_until_in_force(self):
        await self.fleet.wait_until(
            lambda: all(
                vm.daemon.views.in_force["settings/team"] == self.version
                for vm in self.vms
            )
        )

    async def wait_until_fenced(self, vm):
        """Wait until every daemon knows that a VM that ended is fenced."""
        node = vm.daemon.node
        await self.fleet.wait_until(
            lambda: all(
                item.daemon.views.fleet.get(node).state is NodeState.FENCED
                for item in self.vms
            )
        )


@asynccontextmanager
async def running_session():
    with recorded_logs() as entries:
        async with running_fleet(vms=0, branch=BRANCH) as fleet:
            session = Session(fleet, Transcript(fleet, entries))
            await session.start_vms()
            yield session


async def _send_refused_requests(session):
    send, vm = session.transcript.send, session.fleet.vms[1]
    await send(vm, "", X_Request_Id="refused")
    await send(vm, "key-0", Sesamepost_Service="none", X_Request_Id="refused")
    await send(vm, "key-0", Sesamepost_Timeout_Ms="soon", X_Request_Id="refused")
    await send(vm, "key-0", Sesamepost_Class="none", X_Request_Id="refused")
    await send(vm, "key-0", Sesamepost_Repeatable="maybe", X_Request_Id="refused")
    born = {"Sesamepost_Idempotency_Key": "i", "Sesamepost_Born": "x"}
    await send(vm, "key-0", **born, X_Request_Id="refused")
    session.transcript.add(f"executions: {session.fleet.execution_count('refused')}")


async def _submit(session, vms, key, name, **headers):
    headers = {"Sesamepost_Idempotency_Key": name, "X_Request_Id": name, **headers}
    for vm in vms:
        await session.transcript.send(vm, key, **headers)
    session.transcript.add(f"executions: {session.fleet.execution_count(name)}")


async def test_a_session_of_planned_changes(snapshot, monkeypatch):
    # Guards against unintended changes in what callers and operators see during planned
    # changes. RESIGN_WAIT_S is raised because a stopping daemon on a busy machine may
    # end before it learns that it has been fenced.
    monkeypatch.setattr(daemon_module, "RESIGN_WAIT_S", WAIT_TIMEOUT_S)
    async with running_session() as session:
        fleet, transcript = session.fleet, session.transcript
        step, vms = transcript.step, fleet.vms
        with step("requests to several keys by several daemons"):
            await session.send_requests(8, "first")
        with step("refused requests"):
            await _send_refused_requests(session)
        with step("an idempotent submission and its replay"):
            await _submit(session, [vms[0], vms[2]], "key-1", "visit-1")
        with step("a settings change"):
            session.branch = CHANGED_BRANCH
            await session.put(CHANGED_BRANCH)
            await session.wait_until_in_force()
            lengths = [vm.daemon.views.services["ledger"].queue_length for vm in vms]
            transcript.add(f"queue_length in force: {lengths}")
            await session.wait_until_settled()
            await transcript.status(session.vms)
        with step("a rejected branch"):
            await session.put(CHANGED_BRANCH + "slots = many\n")
            await fleet.wait_until(lambda: all(vm.daemon.views.rejected for vm in vms))
            await session.wait_until_settled()
            await transcript.status(session.vms)
        with step("vm-1 is drained"):
            await session.set_state("vm-1", VmState.DRAINED_FOR_DEPLOY)
            await session.wait_until_settled({"vm-0", "vm-2", "vm-3"})
            await transcript.status(session.vms)
            await session.send_requests(8, "drained")
            await _submit(session, [vms[1]], "key-1", "visit-1")
        with step("vm-1 is put back"):
            await session.set_state("vm-1", VmState.IN_SERVICE)
            await session.wait_until_settled()
            await transcript.status(session.vms)
        with step("vm-2 stops as planned"):
            vms[2].stop.set()
            await vms[2].run_task
            await vms[2].stack.aclose()
            await session.wait_until_fenced(vms[2])
            await session.wait_until_settled()
            await transcript.status(session.vms)
        with step("requests afterwards"):
            await session.send_requests(8, "last")
            await _submit(session, [vms[3]], "key-1", "visit-1")
        assert str(transcript) == snapshot


async def test_a_session_of_losses(snapshot):
    # Guards against unintended changes in what callers and operators see when VMs are
    # lost and during an outage of the store.
    async with running_session() as session:
        fleet, transcript = session.fleet, session.transcript
        step, vms = transcript.step, fleet.vms
        lost = vms[3]
        key = key_owned_by(fleet, lost)
        with step("an idempotent submission with a token"):
            token = (await transcript.send(vms[0], key)).headers["Sesamepost-Born"]
            await _submit(session, [vms[0]], key, "sale-1", Sesamepost_Born=token)
        with step("vm-3 is lost"):
            await crash(lost)
            timeout = {"Sesamepost_Timeout_Ms": "300", "X_Request_Id": "early"}
            await transcript.send(vms[0], key, "(before vm-3 is fenced)", **timeout)
            transcript.add(f"executions: {fleet.execution_count('early')}")
            await transcript.send(vms[1], key, "(held until a VM takes over)")
            await session.wait_until_fenced(lost)
            await session.wait_until_settled()
            await transcript.status(session.vms)
        with step("resubmissions after the loss"):
            await _submit(session, [vms[1]], key, "sale-1", Sesamepost_Born=token)
            await _submit(session, [vms[2]], key, "sale-1")
            await _submit(session, [vms[2]], key, "sale-2")
            fresh = (await transcript.send(vms[0], key)).headers["Sesamepost-Born"]
            await _submit(session, vms[:2], key, "sale-3", Sesamepost_Born=fresh)
        with step("the store is down"):
            fleet.store.set_faults(outage=True)
            await fleet.wait_until(lambda: session.is_without_store())
            await session.send_requests(8, "outage")
            await transcript.status(session.vms)
        with step("the store is back"):
            fleet.store.set_faults(outage=False)
            await session.wait_until_settled()
            await session.put(CHANGED_BRANCH)
            await session.wait_until_in_force()
            await session.wait_until_settled()
            await transcript.status(session.vms)
            await session.send_requests(8, "recovered")
        assert str(transcript) == snapshot
