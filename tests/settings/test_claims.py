"""Claims of services under races, lost replies and malformed documents."""

import asyncio

import pytest

from sesamepost.internal.settings.claims import (
    CLAIMS_DOCUMENT,
    ServicesClaimedError,
    claim_services,
    decode_claims,
)
from sesamepost.internal.store.envelope import decode_envelope
from sesamepost.internal.store.http import HttpStore
from sesamepost.standins.store import StoreStandIn


@pytest.fixture
async def standin():
    async with StoreStandIn() as server:
        yield server


@pytest.fixture
async def store(standin):
    async with HttpStore(standin.url) as client:
        yield client


async def stored_claims(store):
    stored = await store.get(CLAIMS_DOCUMENT)
    return decode_claims(decode_envelope(stored.value).body)


async def test_racing_claims_of_one_service_have_one_winner(store):
    # Guards against two teams that both succeed in claiming a service.
    teams = [f"team-{number}" for number in range(8)]
    results = await asyncio.gather(
        *(claim_services(store, team, ["shop", team], "a") for team in teams),
        return_exceptions=True,
    )
    winners = [item for item in results if isinstance(item, dict)]
    losers = [item for item in results if isinstance(item, ServicesClaimedError)]
    assert (len(winners), len(losers)) == (1, 7)
    winner = winners[0]["shop"]
    assert {item.teams["shop"] for item in losers} == {winner}
    assert await stored_claims(store) == {"shop": winner, winner: winner}


async def test_racing_claims_of_different_services_are_all_kept(store):
    # Guards against losing a claim to a conflicting write.
    teams = [f"team-{number}" for number in range(8)]
    await asyncio.gather(*(claim_services(store, t, [f"s-{t}"], "a") for t in teams))
    assert await stored_claims(store) == {f"s-{team}": team for team in teams}


async def test_a_refused_claim_claims_none_of_the_services(store):
    # Guards against names that stay claimed for a branch that was never written.
    await claim_services(store, "lahore", ["shop"], "a")
    with pytest.raises(ServicesClaimedError, match="shop belongs to team lahore"):
        await claim_services(store, "spain", ["closings", "shop"], "a")
    assert await stored_claims(store) == {"shop": "lahore"}


async def test_claims_already_held_are_not_rewritten(store, standin):
    # Guards against writing the claims again with every change of a branch.
    standin.set_faults(lose_write_replies=1)
    assert await claim_services(store, "lahore", ["shop"], "a") == {"shop": "lahore"}
    puts = standin.calls["put"]
    assert await claim_services(store, "lahore", ["shop"], "a") == {"shop": "lahore"}
    assert standin.calls["put"] == puts


@pytest.mark.parametrize("body", [b"", b"\x90", b"\x81\xa1s\x01", b"\x81\x01\xa1t"])
def test_body_that_is_not_a_map_of_names_is_an_error(body):
    # Guards against accepting any valid msgpack value as claims.
    with pytest.raises(ValueError, match=r"claim|Unpack|map key"):
        decode_claims(body)
