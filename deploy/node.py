"""Starts the process beside a worker from a checkout, without installing it."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))

from sesamepost.platform.main import main

main()
