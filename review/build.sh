#!/bin/sh
# The stand-ins need Python 3.11 alone; this compiles them, which shows that
# they can be read. The daemons run from what the deploy file's build installs.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q review/lib review/[1-5]
