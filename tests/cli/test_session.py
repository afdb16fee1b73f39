"""Output and exit codes that scripts rely on, compared with a golden session."""

import asyncio
import re

import pytest

from sesamepost.internal.cli.main import COMMANDS, run

SESSION = """\
check bad.ini --team lahore
check good.ini --team lahore
put lahore bad.ini --if-version 0
put lahore good.ini --if-version 0 --author ayesha
put lahore next.ini --if-version 0 --json
diff lahore next.ini
show lahore
show lahore --json
show spain
put lahore next.ini --if-version 1
wait lahore 1
wait lahore 2 --timeout-s 0 --json
members
members --json
versions
versions --json
owner ledger a/b --json
owner reminders "a/b c"
owner shop a
drain vm-1 --team lahore --reason maintenance --json
drain vm-1 --team lahore --reason maintenance
drain vm-2 --team lahore --reason deploy
undrain vm-1 --team lahore --reason deploy --json
undrain vm-1 --team lahore --reason maintenance
check bad.ini --team lahore --json
check missing.ini --team lahore
check good.ini --team ../x
put lahore good.ini --if-version -1
members --daemon localhost
"""
WORD = r'"([^"]*)"|(\S+)'


@pytest.fixture
def files(tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)
    monkeypatch.setenv("USER", "bilal")
    monkeypatch.setenv("COLUMNS", "100")
    good = "[service:ledger]\n[service:reminders]\n"
    (tmp_path / "good.ini").write_text(good)
    (tmp_path / "next.ini").write_text(good + "slots = 8\n")
    (tmp_path / "bad.ini").write_text("[service:ledger]\npartition = 5\nslots = x\n")


async def test_session(standin, daemon, files, monkeypatch, capfd, snapshot):
    monkeypatch.setenv("SESAMEPOST_STORE", standin.url)
    monkeypatch.setenv("SESAMEPOST_DAEMON", daemon.url)
    parts = []
    for line in SESSION.splitlines():
        arguments = [quoted or word for quoted, word in re.findall(WORD, line)]
        code = await asyncio.to_thread(run, arguments)
        output, errors = capfd.readouterr()
        assert errors.count("\n") <= 1, "an error has more than one line"
        shown = (output + errors).replace(daemon.url, "DAEMON")
        parts.append(f"$ sesamepostctl {line}\n{shown}-> {int(code)}\n")
    assert "\n".join(parts) == snapshot


async def test_store_outage_has_its_exit_code(standin, files, capsys):
    standin.set_faults(outage=True)
    arguments = ["show", "lahore", "--store", standin.url]
    assert await asyncio.to_thread(run, arguments) == 5
    assert capsys.readouterr().err.startswith("sesamepostctl: store: GET ")


def test_help_explains_every_command_and_exit_code(capsys):
    assert run(["--help"]) == 0
    text = capsys.readouterr().out
    for function in COMMANDS:
        assert function.__doc__.splitlines()[0] in text
    for code in range(6):
        assert f"\n  {code}  " in text


def test_wrong_commands_and_missing_addresses_are_usage_errors(capsys, monkeypatch):
    monkeypatch.delenv("SESAMEPOST_STORE", raising=False)
    assert run([]) == 2
    assert run(["reset"]) == 2
    assert run(["drain", "vm-1", "--team", "lahore", "--reason", "lunch"]) == 2
    assert capsys.readouterr().err.count("\n") == 3, "an error has more than one line"
    assert run(["show", "lahore"]) == 2
    assert "SESAMEPOST_STORE" in capsys.readouterr().err
