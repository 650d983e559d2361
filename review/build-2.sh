#!/usr/bin/env bash
# Checks that the stand-ins of the second review's scripts load with the libraries that
# the deploy file's build put into target/deps; they are Python and need no other build.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:src:.:review/support-2" PYTHONDONTWRITEBYTECODE=1
python3 - <<'END'
import small_deployment
import tests.soak.callers, tests.soak.nodes, tests.soak.proxy, tests.soak.store
import tests.soak.workers
print("stand-ins are ready")
END
