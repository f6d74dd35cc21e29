#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps
timeout -s INT -k 8 110 python3 review/6/case.py
status=$?
if [ "$status" -gt 1 ]; then
  status=2
fi
exit "$status"
