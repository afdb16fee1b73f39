"""The documents of a replica, decoded for those who use them."""

import asyncio
from dataclasses import dataclass

import msgpack
import structlog
from reactivex.subject import Subject

from sesamepost.internal.documents.replica import Document, DocumentChange, Replica
from sesamepost.internal.identity import NodeId
from sesamepost.internal.membership.fleet import Fleet
from sesamepost.internal.ownership.assignment import Assignment
from sesamepost.internal.settings.branch import check_change, parse_branch
from sesamepost.internal.settings.model import ServiceSettings, TeamBranch
from sesamepost.internal.wire.pool import Address

FLEET_DOCUMENT = "fleet"
CONTROLLER_DOCUMENT = "controller"
ASSIGNMENT_PREFIX = "assignment/"
SETTINGS_PREFIX = "settings/"

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class ControllerRecord:
    """The node that holds the controller's lease, and its peer address."""

    node: NodeId
    address: Address

    def encode(self) -> bytes:
        """Return the body of the document."""
        return msgpack.packb([list(self.node), list(self.address)])

    @classmethod
    def decode(cls, body: bytes) -> "ControllerRecord":
        """Return the record in a document's body."""
        node, address = msgpack.unpackb(body)
        return cls(NodeId(*node), Address(*address))


class Views:
    """Decoded documents; ``changed`` is an observable of the names that changed.

    A team's branch that does not pass its checks is rejected as a whole: the last good
    one stays in force and ``rejected`` holds the reason.
    """

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.fleet = Fleet()
        self.controller: ControllerRecord | None = None
        self.assignments: dict[str, Assignment] = {}
        self.branches: dict[str, TeamBranch] = {}
        self.services: dict[str, ServiceSettings] = {}
        self.teams: dict[str, TeamBranch] = {}
        self.in_force: dict[str, int] = {}
        self.rejected: dict[str, str] = {}
        self.changed: Subject = Subject()
        self.next_change = asyncio.Event()
        self.subscription = replica.changes.subscribe(self._on_change)

    def address_of(self, node: NodeId) -> Address | None:
        """Return the peer address of a node in the fleet."""
        record = self.fleet.get(node)
        return None if record is None else record.address

    def _on_change(self, change: DocumentChange) -> None:
        document = change.current
        try:
            self._decode(document)
        except (ValueError, TypeError, KeyError) as error:
            self.rejected[document.name] = f"cannot be decoded: {error}"
            log.error("document_rejected", name=document.name, error=str(error))
            return
        self.changed.on_next(document.name)
        self.next_change.set()
        self.next_change = asyncio.Event()

    def _decode(self, document: Document) -> None:
        name, version = document.name, document.version
        body = document.body
        if name == FLEET_DOCUMENT:
            self.fleet = Fleet.decode(version, body)
        elif name == CONTROLLER_DOCUMENT:
            self.controller = ControllerRecord.decode(body)
        elif name.startswith(ASSIGNMENT_PREFIX):
            service = name.removeprefix(ASSIGNMENT_PREFIX)
            self.assignments[service] = Assignment.decode(service, version, body)
        elif name.startswith(SETTINGS_PREFIX):
            self._decode_branch(document, body.decode())
            return
        self.in_force[name] = version

    def _decode_branch(self, document: Document, text: str) -> None:
        team = document.name.removeprefix(SETTINGS_PREFIX)
        result = parse_branch(team, text)
        is_ok = result.is_ok()
        problems = self._conflicts(team, result.ok) if is_ok else result.error
        if problems:
            reason = "; ".join(str(problem) for problem in problems)
            self.rejected[document.name] = f"version {document.version}: {reason}"
            log.error("settings_rejected", team=team, version=document.version)
            return
        self.rejected.pop(document.name, None)
        self.branches[team] = result.ok
        self.in_force[document.name] = document.version
        self._index_services()
        log.info("settings_in_force", team=team, version=document.version)

    def _conflicts(self, team: str, branch: TeamBranch) -> list:
        problems = []
        for name in branch.services:
            other = self.teams.get(name)
            if other is not None and other.team != team:
                problems.append(f"service {name} belongs to team {other.team}")
        if team in self.branches:
            problems.extend(check_change(self.branches[team], branch))
        return problems

    def _index_services(self) -> None:
        self.services = {}
        self.teams = {}
        for branch in self.branches.values():
            for name, service in branch.services.items():
                self.services[name] = service
                self.teams[name] = branch
