"""Decoded views of the documents in a replica."""

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
from sesamepost.internal.settings.claims import (
    CLAIMS_DOCUMENT,
    claimed_by_others,
    decode_claims,
)
from sesamepost.internal.settings.model import ServiceSettings, TeamBranch
from sesamepost.internal.wire.pool import Address

FLEET_DOCUMENT = "fleet"
CONTROLLER_DOCUMENT = "controller"
ASSIGNMENT_PREFIX = "assignment/"
SETTINGS_PREFIX = "settings/"
# sesamepostctl claims services before it writes a branch, so a branch seldom waits.
MAX_WAITING_VERSIONS = 16

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class ControllerRecord:
    """The node that holds the controller's lease and its peer address."""

    node: NodeId
    address: Address

    def encode(self) -> bytes:
        """Return the encoded document body."""
        return msgpack.packb([list(self.node), list(self.address)])

    @classmethod
    def decode(cls, body: bytes) -> "ControllerRecord":
        """Decode a record from a document body."""
        node, address = msgpack.unpackb(body)
        return cls(NodeId(*node), Address(*address))


@dataclass(frozen=True, slots=True)
class Rejection:
    """The newest rejected version of a document and the reason."""

    version: int
    reason: str


class Views:
    """Decoded documents; ``changed`` is an observable of the names that changed.

    A team's branch that fails its checks is rejected as a whole: the last valid version
    stays in force and ``rejected`` holds the reason.

    Only the claims document decides which team a service belongs to. A branch with an
    unclaimed service does not take effect yet: its version waits in ``unclaimed`` and
    is checked again when the claims change. Claims are only added, so all daemons reach
    the same result whatever the order of arrival.
    """

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.fleet = Fleet()
        self.controller: ControllerRecord | None = None
        self.assignments: dict[str, Assignment] = {}
        self.claims: dict[str, str] = {}
        self.unclaimed: dict[str, dict[int, TeamBranch]] = {}
        self.branches: dict[str, TeamBranch] = {}
        self.services: dict[str, ServiceSettings] = {}
        self.branches_by_service: dict[str, TeamBranch] = {}
        self.in_force: dict[str, int] = {}
        self.rejected: dict[str, Rejection] = {}
        self.changed: Subject = Subject()
        self.next_change = asyncio.Event()
        self.subscription = replica.changes.subscribe(self._on_change)

    @property
    def waiting(self) -> dict[str, Rejection]:
        """The newest version of each document that waits for claims and the reason."""
        waiting_versions = {}
        for team, versions in self.unclaimed.items():
            newest = max(versions)
            names = ", ".join(self._unclaimed_services(versions[newest]))
            reason = f"no team's claim of {names} is known yet"
            waiting_versions[SETTINGS_PREFIX + team] = Rejection(newest, reason)
        return waiting_versions

    def address_of(self, node: NodeId) -> Address | None:
        """Return the peer address of a node, or None if it is not in the fleet."""
        record = self.fleet.get(node)
        return None if record is None else record.address

    def _on_change(self, change: DocumentChange) -> None:
        document = change.current
        try:
            names = self._decode(document)
        except (ValueError, TypeError, KeyError) as error:
            self._reject(document.name, document.version, f"cannot be decoded: {error}")
            log.error("document_rejected", name=document.name, error=str(error))
            return
        for name in names:
            self.changed.on_next(name)
        self.next_change.set()
        self.next_change = asyncio.Event()

    def _decode(self, document: Document) -> list[str]:
        """Decode a document and return the names of all documents that it changes."""
        name, version = document.name, document.version
        body = document.body
        names = [name]
        if name == FLEET_DOCUMENT:
            self.fleet = Fleet.decode(version, body)
        elif name == CONTROLLER_DOCUMENT:
            self.controller = ControllerRecord.decode(body)
        elif name == CLAIMS_DOCUMENT:
            self.claims = decode_claims(body)
            resolved = [
                team for team in sorted(self.unclaimed) if self._resolve_versions(team)
            ]
            names += [SETTINGS_PREFIX + team for team in resolved]
        elif name.startswith(ASSIGNMENT_PREFIX):
            service = name.removeprefix(ASSIGNMENT_PREFIX)
            self.assignments[service] = Assignment.decode(service, version, body)
        elif name.startswith(SETTINGS_PREFIX):
            self._decode_branch(document, body.decode())
            return names
        self._accept(name, version)
        return names

    def _decode_branch(self, document: Document, text: str) -> None:
        team = document.name.removeprefix(SETTINGS_PREFIX)
        result = parse_branch(team, text)
        if result.is_error():
            self._reject_branch(team, document.version, result.error)
            return
        versions = self.unclaimed.setdefault(team, {})
        versions[document.version] = result.ok
        if len(versions) > MAX_WAITING_VERSIONS:
            del versions[min(versions)]
        self._resolve_versions(team)

    def _resolve_versions(self, team: str) -> bool:
        """Resolve the versions of a branch that need no further claim, oldest first.

        Returns whether any version took effect or was rejected. Older versions are
        resolved although a newer one is known: on daemons that received the claims
        first they have been in force, and one of them may be the last valid version.
        """
        versions = self.unclaimed.pop(team)
        is_resolved = False
        for version in sorted(versions):
            branch = versions[version]
            if version <= self.in_force.get(SETTINGS_PREFIX + team, 0):
                continue
            other_teams = claimed_by_others(self.claims, team, branch.services)
            if not other_teams and self._unclaimed_services(branch):
                self.unclaimed.setdefault(team, {})[version] = branch
                continue
            is_resolved = True
            self._resolve_version(team, version, branch, other_teams)
        unresolved = self.unclaimed.get(team, {})
        for version in sorted(unresolved):
            if version <= self.in_force.get(SETTINGS_PREFIX + team, 0):
                del unresolved[version]
        if not unresolved:
            self.unclaimed.pop(team, None)
        return is_resolved

    def _resolve_version(
        self, team: str, version: int, branch: TeamBranch, other_teams: dict[str, str]
    ) -> None:
        problems: list = [
            f"service {name} belongs to team {other}"
            for name, other in other_teams.items()
        ]
        problems += check_change(self.branches.get(team), branch)
        if problems:
            self._reject_branch(team, version, problems)
            return
        self.branches[team] = branch
        self._accept(SETTINGS_PREFIX + team, version)
        self._index_services()
        log.info("settings_in_force", team=team, version=version)

    def _unclaimed_services(self, branch: TeamBranch) -> list[str]:
        return sorted(branch.services.keys() - self.claims.keys())

    def _accept(self, name: str, version: int) -> None:
        self.in_force[name] = version
        rejection = self.rejected.get(name)
        if rejection is not None and rejection.version <= version:
            del self.rejected[name]

    def _reject(self, name: str, version: int, reason: str) -> None:
        known = self.rejected.get(name)
        if known is None or known.version < version:
            self.rejected[name] = Rejection(version, reason)

    def _reject_branch(self, team: str, version: int, problems: list) -> None:
        reason = "; ".join(str(problem) for problem in problems)
        self._reject(SETTINGS_PREFIX + team, version, reason)
        log.error("settings_rejected", team=team, version=version)

    def _index_services(self) -> None:
        self.services = {}
        self.branches_by_service = {}
        for branch in self.branches.values():
            for name, service in branch.services.items():
                self.services[name] = service
                self.branches_by_service[name] = branch
