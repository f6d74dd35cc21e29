#!/bin/sh
# The stand-ins need nothing but the standard library of Python.
cd "$(dirname "$0")" && exec python3 -m py_compile lib/rig.py
