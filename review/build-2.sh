#!/bin/sh
# Checks that the stand-ins of the second review can be imported; there is
# nothing to compile. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps python3 -c \
  "import review.rig2.case, review.rig2.daemons, review.rig2.gateway, \
    review.rig2.store"
