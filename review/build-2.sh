#!/usr/bin/env bash
# Builds what the scripts of the second review start: the libraries of the deploy file.
# The stand-ins are Python modules of this repository and need no build of their own.
set -euo pipefail
cd "$(dirname "$0")/.."
eval "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
PYTHONPATH=target/deps:src:. python3 -c "import review.common_2.case, tests.platform.fleet"
