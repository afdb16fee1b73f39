"""Read and write the teams' branches in the store."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from sesamepost.internal.cli.errors import (
    CommandError,
    ExitCode,
    ProblemsError,
    conflict_error,
)
from sesamepost.internal.settings.branch import (
    SETTINGS_PREFIX,
    branch_key,
    check_change,
    check_tree,
    parse_branch,
)
from sesamepost.internal.settings.claims import (
    CLAIMS_DOCUMENT,
    ServicesClaimedError,
    claim_services,
)
from sesamepost.internal.settings.model import TeamBranch
from sesamepost.internal.settings.problems import SettingsProblem
from sesamepost.internal.store.envelope import decode_envelope, write_document
from sesamepost.internal.store.interface import (
    Store,
    StoreConflictError,
    StoreRefusedError,
    StoreUnavailableError,
)

MAX_EDIT_ATTEMPTS = 20


@dataclass(frozen=True, slots=True)
class StoredBranch:
    """A branch as stored; version 0 and empty if the team has none."""

    team: str
    version: int
    author: str
    text: str


async def read_branch(store: Store, team: str) -> StoredBranch:
    """Return the team's branch as stored.

    Raises ``EnvelopeError`` if the stored value is not an envelope.
    """
    stored = await store.get(branch_key(team))
    if stored is None:
        return StoredBranch(team, 0, "", "")
    envelope = decode_envelope(stored.value)
    text = envelope.body.decode()
    return StoredBranch(team, stored.version, envelope.author, text)


async def require_branch(store: Store, team: str) -> StoredBranch:
    """Return the team's branch, or raise ``CommandError`` if it has none."""
    branch = await read_branch(store, team)
    if branch.version == 0:
        raise CommandError(
            ExitCode.FAILED,
            f"team {team} has no branch; create it with put {team} FILE --if-version 0",
        )
    return branch


def parse_or_raise(team: str, text: str, file: str) -> TeamBranch:
    """Return the branch in ``text``, or raise ``ProblemsError`` if it is invalid."""
    parsed = parse_branch(team, text, file)
    if parsed.is_error():
        raise ProblemsError(file, parsed.error)
    return parsed.ok


async def put_branch(
    store: Store, team: str, text: str, file: str, author: str, expected: int
) -> int:
    """Validate a branch, the change and the whole tree, then write the branch.

    Nothing is written unless the branch has no problem and its version in the store is
    ``expected``. The services are claimed for the team before the branch is written,
    and the claims remain if that write fails. Returns the new version.
    """
    new = parse_or_raise(team, text, file)
    with _report_unwritten(team):
        stored = await read_branch(store, team)
        if stored.version != expected:
            raise conflict_error(
                StoreConflictError(
                    branch_key(team), expected, stored.version, stored.author
                )
            )
        # A stored branch that this release can't parse must not prevent its
        # replacement.
        old = parse_branch(team, stored.text).default_value(None)
        problems = check_change(old, new)
        problems += check_tree([*await _read_other_branches(store, team), new])
        if problems:
            raise ProblemsError(file, problems)
        await _claim(store, new, file, author)
    return await _write(store, team, text, author, expected)


async def edit_branch(
    store: Store,
    team: str,
    author: str,
    edit: Callable[[TeamBranch, str], str],
) -> tuple[int, bool]:
    """Apply ``edit`` to the branch; return its version and whether it was written.

    ``edit`` takes the branch and its text and returns the new text, or the same text if
    there is nothing to change. If another operator writes in between, it is called
    again with the newer branch, so that both changes are kept.
    """
    conflict: CommandError | None = None
    for _ in range(MAX_EDIT_ATTEMPTS):
        with _report_unwritten(team):
            stored = await require_branch(store, team)
        branch = parse_or_raise(team, stored.text, branch_key(team))
        text = edit(branch, stored.text)
        if text == stored.text:
            return stored.version, False
        parse_or_raise(team, text, branch_key(team))
        try:
            return await _write(store, team, text, author, stored.version), True
        except CommandError as error:
            if error.code is not ExitCode.CONFLICT:
                raise
            conflict = error
    assert conflict is not None
    raise conflict


@contextmanager
def _report_unwritten(team: str) -> Iterator[None]:
    """Report that the branch was not written if the store fails in this block.

    It does not matter here whether the services were claimed, since a repeated command
    finds the claims.
    """
    try:
        yield
    except StoreUnavailableError as error:
        raise StoreRefusedError(
            f"{branch_key(team)} was not written: {error}"
        ) from error


async def _claim(store: Store, branch: TeamBranch, file: str, author: str) -> None:
    try:
        await claim_services(store, branch.team, branch.services, author)
    except ServicesClaimedError as error:
        problems = [
            SettingsProblem(
                file,
                f"service:{name}",
                "",
                "",
                f"the service belongs to team {team}",
                "choose a name that no other team has used",
            )
            for name, team in error.teams.items()
        ]
        raise ProblemsError(file, problems) from error
    except StoreConflictError as error:
        raise CommandError(
            ExitCode.UNAVAILABLE,
            f"the services of team {branch.team} could not be claimed, because other"
            f" writers were first each time ({error}); nothing was written, try again",
        ) from error
    except ValueError as error:
        raise CommandError(
            ExitCode.FAILED, f"store: {CLAIMS_DOCUMENT} cannot be used: {error}"
        ) from error


async def _write(store: Store, team: str, text: str, author: str, expected: int) -> int:
    try:
        return await write_document(
            store, branch_key(team), text.encode(), author, expected
        )
    except StoreConflictError as conflict:
        raise conflict_error(conflict) from conflict


async def _read_other_branches(store: Store, team: str) -> list[TeamBranch]:
    branches = []
    for key, _ in await store.list(SETTINGS_PREFIX):
        other = key.removeprefix(SETTINGS_PREFIX)
        if other == team:
            continue
        stored = await read_branch(store, other)
        parsed = parse_branch(other, stored.text)
        if parsed.is_error():
            # Another team's invalid branch must not block changes by this team.
            continue
        branches.append(parsed.ok)
    return branches
