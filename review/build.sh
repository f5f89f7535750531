#!/usr/bin/env bash
# Compiles the stand-ins and the cases, and checks that they can be imported.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q .
python3 -c "import standins.quota, standins.worker"
