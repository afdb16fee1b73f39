#!/bin/bash
# run.sh NAME runs old_fence or left_worker, which are described in the report. They are
# not cases. The exit status is that of the cases.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:src:. PYTHONDONTWRITEBYTECODE=1
exec python3 "review/further/$1.py"
