"""Start the router process beside a worker from a checkout, without installing it."""

import signal
import sys
from pathlib import Path


def start() -> None:
    """Make the package importable and run it."""
    # The default action of SIGHUP would end the process if a reload were requested
    # during the imports, which take a while.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))
    from sesamepost.platform.main import main

    main()


start()
