"""The claims document, which records the team that each service belongs to.

Two teams can add the same service at the same time, each in its own branch, without a
write conflict. Both must first claim the service by a compare-and-swap of this one
document, so only one of them succeeds. All daemons therefore agree on the team, in
whatever order the branches reach them.
"""

from collections.abc import Collection, Mapping

import msgpack

from sesamepost.internal.store.envelope import decode_envelope, write_document
from sesamepost.internal.store.interface import Store, StoreConflictError

CLAIMS_DOCUMENT = "services"
MAX_CLAIM_ATTEMPTS = 20


class ServicesClaimedError(Exception):
    """Raised if services belong to other teams; ``teams`` maps each to its team."""

    def __init__(self, teams: Mapping[str, str]) -> None:
        claims = (f"service {name} belongs to team {teams[name]}" for name in teams)
        super().__init__("; ".join(claims))
        self.teams = dict(teams)


def encode_claims(claims: Mapping[str, str]) -> bytes:
    """Encode ``claims``, a map from service to team, as the document's body."""
    return msgpack.packb(dict(sorted(claims.items())))


def decode_claims(body: bytes) -> dict[str, str]:
    """Return the team of each claimed service.

    Raises ``ValueError`` if ``body`` is not a map from service to team.
    """
    claims = msgpack.unpackb(body)
    if not isinstance(claims, dict):
        raise ValueError("the claims document is not a map of services to teams")
    for service, team in claims.items():
        if not isinstance(service, str) or not isinstance(team, str):
            raise ValueError(
                f"the claim {service!r}: {team!r} is not a pair of strings"
            )
    return claims


def claimed_by_others(
    claims: Mapping[str, str], team: str, services: Collection[str]
) -> dict[str, str]:
    """Return those of ``services`` that other teams have claimed, with the teams."""
    return {
        name: claims[name]
        for name in sorted(services)
        if claims.get(name, team) != team
    }


async def claim_services(
    store: Store, team: str, services: Collection[str], author: str
) -> dict[str, str]:
    """Claim all ``services`` for ``team``, or none of them; return all claims.

    Call this before writing a branch that defines the services. A claim is never
    released. Nothing is written if the team already has all the claims.

    Raises ``ServicesClaimedError`` if another team has one of the services,
    ``StoreConflictError`` if other writers win every attempt, and
    ``StoreUnavailableError``.
    """
    for attempt in range(1, MAX_CLAIM_ATTEMPTS + 1):
        stored = await store.get(CLAIMS_DOCUMENT)
        version, claims = 0, {}
        if stored is not None:
            version = stored.version
            claims = decode_claims(decode_envelope(stored.value).body)
        claimed_elsewhere = claimed_by_others(claims, team, services)
        if claimed_elsewhere:
            raise ServicesClaimedError(claimed_elsewhere)
        missing = set(services) - claims.keys()
        if not missing:
            break
        claims |= dict.fromkeys(missing, team)
        try:
            await write_document(
                store, CLAIMS_DOCUMENT, encode_claims(claims), author, version
            )
            break
        except StoreConflictError:
            if attempt == MAX_CLAIM_ATTEMPTS:
                raise
    return claims
