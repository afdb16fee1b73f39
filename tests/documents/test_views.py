"""Every daemon must reach the same settings in any order of arrival."""

from itertools import permutations

from hypothesis import given, settings
from hypothesis import strategies as st

from sesamepost.internal.documents.replica import Replica
from sesamepost.internal.documents.views import Views
from sesamepost.internal.settings.claims import CLAIMS_DOCUMENT, encode_claims

TEAMS = ("lahore", "spain")
SERVICES = ("ledger", "reminders", "valuation")
FAULTY_BRANCH = "[service:ledger]\npartitions = 3\n"

service_sets = st.sets(st.sampled_from(SERVICES), min_size=1)


def branch_text(services):
    return "".join(f"[service:{name}]\n" for name in sorted(services))


def branch(team, version, services):
    return (f"settings/{team}", version, branch_text(services).encode())


def claims(version, teams):
    return (CLAIMS_DOCUMENT, version, encode_claims(teams))


def offer_in_order(documents):
    """Offer the documents in this order; check that no version in force reverts."""
    replica = Replica()
    views = Views(replica)
    teams, versions = {}, {}
    for document in documents:
        replica.offer(*document)
        for name, team in views.branches_by_service.items():
            assert teams.setdefault(name, team.team) == team.team, (
                "a service changed its team"
            )
        for name, version in versions.items():
            assert views.in_force.get(name, 0) >= version, (
                "a version in force was reverted"
            )
        versions = dict(views.in_force)
    return views


def result_of(views):
    versions = {name: views.in_force.get(f"settings/{name}") for name in TEAMS}
    return versions, {
        name: team.team for name, team in views.branches_by_service.items()
    }


@settings(max_examples=60, deadline=None)
@given(services=st.tuples(service_sets, service_sets), data=st.data())
def test_branches_and_claims_give_the_same_result_in_any_order(services, data):
    # Guards against daemons that disagree about the team of a service.
    teams = {
        name: data.draw(st.sampled_from(TEAMS), name)
        for name in sorted(services[0] | services[1])
    }
    early = data.draw(st.sets(st.sampled_from(sorted(teams))), "claimed first")
    documents = [
        branch("lahore", 1, services[0]),
        branch("spain", 1, services[1]),
        claims(1, {name: teams[name] for name in early}),
        claims(2, teams),
    ]
    expected = {
        team: 1 if all(teams[name] == team for name in wanted) else None
        for team, wanted in zip(TEAMS, services, strict=True)
    }
    for order in permutations(documents):
        views = offer_in_order(order)
        assert result_of(views)[0] == expected, [item[:2] for item in order]
        rejected = {f"settings/{t}" for t in TEAMS if expected[t] is None}
        assert set(views.rejected) == rejected
        assert views.waiting == {}


def test_a_branch_waits_for_its_claims_and_reports_the_reason():
    # Guards against a service that the branches of two teams put into force in turn.
    views = offer_in_order([branch("lahore", 1, ["ledger"]), claims(1, {})])
    assert views.services == {}
    assert "ledger" in views.waiting["settings/lahore"].reason
    assert views.rejected == {}
    names = []
    views.changed.subscribe(names.append)
    views.replica.offer(*claims(2, {"ledger": "lahore"}))
    assert list(views.services) == ["ledger"]
    assert views.in_force == {"services": 2, "settings/lahore": 1}
    assert names == ["services", "settings/lahore"], "subscribers were not notified"


def test_a_waiting_valid_version_takes_effect_despite_a_later_faulty_one():
    # Guards against a last valid version that depends on when the claims arrived.
    documents = [
        branch("lahore", 1, ["ledger"]),
        ("settings/lahore", 2, FAULTY_BRANCH.encode()),
        claims(1, {"ledger": "lahore"}),
    ]
    for order in (documents, [documents[2], *documents[:2]]):
        views = offer_in_order(order)
        assert result_of(views)[0]["lahore"] == 1
        assert views.rejected["settings/lahore"].version == 2


def test_an_older_waiting_version_does_not_replace_a_newer_one():
    # Guards against a setting that reverts when the claims arrive.
    views = offer_in_order(
        [
            claims(1, {"ledger": "lahore"}),
            branch("lahore", 1, ["ledger", "reminders"]),
            branch("lahore", 2, ["ledger"]),
            claims(2, {"ledger": "lahore", "reminders": "lahore"}),
        ]
    )
    assert views.in_force["settings/lahore"] == 2
    assert list(views.services) == ["ledger"]


def test_a_dropped_service_stays_with_its_team():
    # Guards against a second team taking over partitions that still exist.
    views = offer_in_order(
        [
            claims(1, {"ledger": "lahore", "shop": "lahore"}),
            branch("lahore", 1, ["ledger"]),
            branch("lahore", 2, ["shop"]),
            branch("spain", 1, ["ledger"]),
        ]
    )
    assert views.rejected["settings/spain"].reason == (
        "service ledger belongs to team lahore"
    )


def test_a_rejection_ends_when_the_document_can_be_decoded_again():
    # Guards against a rejection that operators still see after the repair.
    views = offer_in_order([(CLAIMS_DOCUMENT, 1, b"\x91\x01")])
    assert views.rejected[CLAIMS_DOCUMENT].version == 1
    views.replica.offer(*claims(2, {}))
    assert views.rejected == {}
