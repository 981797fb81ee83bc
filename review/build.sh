#!/bin/sh
# Builds the stand-ins of the scripts. They are Python and need the interpreter only; this checks that it can load them.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "."); import standins'
