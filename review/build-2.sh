#!/usr/bin/env bash
# Compiles the stand-ins of the cases 6 to 10; the project's own come with the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/lib-2 target/deps/fireflyspindle/testing
