"""The claims document: which team each service belongs to.

Two teams can add the same service at the same moment, each in its own branch, and
neither write conflicts with the other. The claim is one compare-and-swap for both, so
one of them is first, and every daemon reads the same answer whatever arrives first.
"""

from collections.abc import Collection, Mapping

import msgpack

from sesamepost.internal.store.envelope import decode_envelope, write_document
from sesamepost.internal.store.interface import Store, StoreConflictError

CLAIMS_DOCUMENT = "services"
MAX_CLAIM_ATTEMPTS = 20


class ServicesClaimedError(Exception):
    """Services belong to other teams; ``teams`` holds the team of each of them."""

    def __init__(self, teams: Mapping[str, str]) -> None:
        claims = (f"service {name} belongs to team {teams[name]}" for name in teams)
        super().__init__("; ".join(claims))
        self.teams = dict(teams)


def encode_claims(claims: Mapping[str, str]) -> bytes:
    """Return the body of the document for ``claims``, which maps service to team."""
    return msgpack.packb(dict(sorted(claims.items())))


def decode_claims(body: bytes) -> dict[str, str]:
    """Return the team of each claimed service; raises ``ValueError``."""
    claims = msgpack.unpackb(body)
    if not isinstance(claims, dict):
        raise ValueError("the claims of services are not a map")
    for service, team in claims.items():
        if not isinstance(service, str) or not isinstance(team, str):
            raise ValueError(f"the claim {service!r}: {team!r} is not a pair of names")
    return claims


def claimed_by_others(
    claims: Mapping[str, str], team: str, services: Collection[str]
) -> dict[str, str]:
    """Return the services that belong to other teams, with these teams."""
    return {
        name: claims[name]
        for name in sorted(services)
        if claims.get(name, team) != team
    }


async def claim_services(
    store: Store, team: str, services: Collection[str], author: str
) -> dict[str, str]:
    """Claim all ``services`` for ``team``, or none of them; return all claims.

    Call it before a branch that names the services is written. A claim is never given
    back. Nothing is written if the team has all the claims already.

    Raises ``ServicesClaimedError`` if another team has one of the services,
    ``StoreConflictError`` if other writers are first each time, and
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
