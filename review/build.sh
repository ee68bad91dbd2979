#!/bin/sh
# Builds every stand-in of the scripts. They are plain Python and need the standard
# library only; the gateway itself comes from the build of the deploy file.
set -e
cd "$(dirname "$0")"
python3 -m py_compile common.py [1-5]/case.py
