"""Starts the process beside a worker from a checkout, without installing it."""

import signal
import sys
from pathlib import Path


def start() -> None:
    """Make the package importable and run it."""
    # The imports take a while, and a reload must not end a process that is starting.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))
    from sesamepost.platform.main import main

    main()


start()
