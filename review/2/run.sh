#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it was kept, 2 if the case could not run.
# Writes record.txt beside this file. With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:src:. PYTHONDONTWRITEBYTECODE=1
exec python3 review/2/case.py
