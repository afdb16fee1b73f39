"""A faulty branch must be rejected as a whole, with every problem reported."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sesamepost.internal.settings.branch import check_change, check_tree, parse_branch
from sesamepost.internal.settings.model import (
    ClassSettings,
    RestartPolicy,
    TeamBranch,
    VmState,
    Weights,
)

LAHORE = """\ufeff# Water filters
[team]
weight_imbalance = 0.5
restart = wait
; month end
[service:reminders]
partitions = 1024
[service:ledger]
[class:ledger/sales]
weight = 3
[vm:vm-1]
state = drained_for_maintenance
""".replace("\n", "\r\n")


def problems(text):
    result = parse_branch("lahore", text)
    assert result.is_error(), "the branch was accepted"
    return result.error


def problem_lines(text):
    return [str(problem) for problem in problems(text)]


def branch(text, team="lahore"):
    return parse_branch(team, text).ok


def test_branch_with_comments_line_ends_and_byte_order_mark_is_read():
    parsed = branch(LAHORE)
    assert parsed.weights == Weights(imbalance=0.5)
    assert parsed.restart is RestartPolicy.WAIT
    assert parsed.services["reminders"].partitions == 1024
    assert parsed.services["reminders"].classes == (ClassSettings("default"),)
    assert parsed.services["ledger"].classes == (
        ClassSettings("default"),
        ClassSettings("sales", 3),
    )
    assert parsed.vms == {"vm-1": VmState.DRAINED_FOR_MAINTENANCE}


def test_empty_branch_has_the_defaults_of_the_model():
    assert branch("") == TeamBranch("lahore")


def test_all_problems_are_reported_and_name_place_value_and_remedy():
    assert problem_lines(
        "[service:ledger]\npartitions = 500\nslot = 6\n[vm:a]\nstate = off\n[clas]\n"
        "[class:shop/x]\nweight = -1\n"
    ) == [
        "settings/lahore:2: [service:ledger] partitions = 500: the value is not a"
        " power of two; use a power of two from 1 to 4096",
        "settings/lahore:3: [service:ledger] slot = 6: unknown key;"
        " did you mean slots?",
        "settings/lahore:5: [vm:a] state = off: the value is not among the choices;"
        " use one of in_service, drained_for_deploy, drained_for_maintenance, removed",
        "settings/lahore:6: [clas]: unknown section;"
        " known here: [team], [service:NAME], [class:SERVICE/NAME], [vm:NAME]",
        "settings/lahore:8: [class:shop/x] weight = -1: the value is below 0;"
        " use a whole number from 0 to 1000",
        "settings/lahore:7: [class:shop/x]: the class belongs to the unknown service"
        " 'shop'; add [service:shop] or correct the name",
    ]


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("[team]\nrestart = move\nrestart = wait", "key occurs twice"),
        ("[service:a]\n[service:b]\n[service:a]", "section occurs twice"),
        ("[team]\nrestart = move\n  wait", "indented"),
        ("[team]\nrestart: move", "neither a section nor a setting"),
        ("[team]\n= move", "neither a section nor a setting"),
        ("restart = move", "before the first section"),
        ("[team", "header is malformed"),
        ("[]", "header is malformed"),
        ("[[team]]", "header is malformed"),
        ("[DEFAULT]\nslots = 5", "unknown section"),
        ("[team:x]", "unknown section"),
        ("[service]", "unknown section"),
        ("[service:]", "'' is not a name"),
        ("[service:a b]", "'a b' is not a name"),
        ("[service:a/b]", "'a/b' is not a name"),
        ("[vm:%s]" % ("x" * 64), "is not a name"),
        ("[service:a]\n[class:a]", "names no service"),
        ("[service:a]\n[class:a/default]\nweight = 0", "no class"),
        ("[service:a]\nslots =", "not a whole number"),
        ("[service:a]\nslots = 1_0", "not a whole number"),
        ("[service:a]\nslots = \u0663", "not a whole number"),
        ("[service:a]\nslots = 6 ; six", "not a whole number"),
        ("[service:a]\npartitions = 8192", "above 4096"),
        ("[service:a]\npartitions = 0", "below 1"),
        ("[team]\nrestart_wait_s = nan", "not a number"),
        ("[team]\nweight_churn = 1e999", "not a number"),
        ("[team]\nweight_churn = -0.1", "below 0"),
        ("[team]\nRestart = move", "did you mean restart?"),
        ("# " + "x" * 900_000, "900002 bytes"),
    ],
)
def test_faulty_text_is_refused(text, reason):
    assert any(reason in line for line in problem_lines(text)), problem_lines(text)


@given(st.text(alphabet="[]=:/#;\n\r \tab0.-%\u2028\x00\ud800", max_size=60))
def test_no_text_crashes_the_parser(text):
    parse_branch("lahore", text)


def test_name_of_the_team_is_checked():
    assert "settings/../x" in str(parse_branch("../x", "").error[0])


def test_partitions_of_an_existing_service_cannot_change():
    old = branch("[service:a]\npartitions = 512")
    (problem,) = check_change(old, branch("[service:a]\npartitions = 1024"))
    assert "keep partitions = 512" in str(problem)
    assert check_change(old, branch("[service:a]\nslots = 7\n[service:b]")) == []
    assert check_change(None, old) == []


def test_service_of_another_team_is_refused():
    branches = [branch("[service:a]"), branch("[service:a]\n[service:b]", "valuation")]
    (problem,) = check_tree(branches)
    assert "settings/valuation: [service:a]: team lahore defines" in str(problem)


def test_default_class_comes_first_wherever_it_is_defined():
    # Guards against assigning requests without a class to whichever class is first.
    text = "[service:s]\n[class:s/night]\nweight = 2\n[class:s/default]\nweight = 3\n"
    classes = parse_branch("lahore", text).ok.services["s"].classes
    assert [(item.name, item.weight) for item in classes] == [
        ("default", 3),
        ("night", 2),
    ]
