#!/usr/bin/env bash
# Run this after the build of the deploy file. The stand-ins that the scripts of the second
# review start are Python modules of this repository: they are compiled and imported here.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:src:.
python3 -m compileall -q tests/platform review/common_2 review/6 review/7 review/8 \
  review/9 review/10
python3 -c "import review.common_2.case, tests.platform.fleet"
echo "the stand-ins can be imported"
