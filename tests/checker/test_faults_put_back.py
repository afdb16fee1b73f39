"""Each fault of ownership that this project had is found again when it is put back.

A change of the events or of the product may shift the orders that show the faults.
``python -m tests.checker.finding`` finds them anew. The orders run in another process,
since they depend on the hash seed of the interpreter.
"""

import os
import subprocess
import sys

import pytest

from tests.checker.faults_put_back import FAULTS

KNOWN = [f.name for f in FAULTS if f.order is not None or f.events]
MIN_KNOWN = 8


@pytest.fixture(scope="module")
def found() -> dict[str, str]:
    """Return what the known order of each fault has shown, by the name of the fault."""
    result = subprocess.run(
        [sys.executable, "-m", "tests.checker.finding", "--known"],
        env={**os.environ, "PYTHONHASHSEED": "0"},
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    rows = [line.split(" | ") for line in result.stdout.splitlines()]
    assert rows, result.stderr
    return {name: what for name, _, _, what in rows}


@pytest.mark.parametrize("name", KNOWN)
def test_a_fault_that_is_put_back_is_found(found, name):
    """The checker could be blind to a fault that callers have seen before."""
    assert "not found" not in found[name]


def test_enough_faults_are_put_back():
    """A fault whose order is removed would no longer be looked for."""
    assert len(KNOWN) >= MIN_KNOWN
