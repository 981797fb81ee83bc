#!/bin/sh
# All processes are killed and back after 5 s; after the recovery a final fault follows.
here=$(cd "$(dirname "$0")" && pwd)
exec python3 "$here/../recover.py" "$here" down-then-killed
