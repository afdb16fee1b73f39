#!/bin/bash
# Checks that the stand-ins of the scripts can be imported; they are Python and need no
# other build. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:src:. PYTHONDONTWRITEBYTECODE=1
python3 -c "import review.common.fleet, tests.platform.fleet"
echo "the stand-ins can be imported"
