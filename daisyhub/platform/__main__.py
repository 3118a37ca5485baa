"""Runs one daemon on the users' platform: `python -m daisyhub.platform`."""

import signal

# The other imports take a quarter of a second. The platform may send SIGHUP
# for a changed settings file in that time, which must not end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# ruff: noqa: E402
import faulthandler
import os
import sys

import anyio

from daisyhub.exceptions import DocumentError
from daisyhub.fleet_settings import load_fleet_settings
from daisyhub.logs import set_up_decision_log
from daisyhub.platform._daemon import FleetDaemon

_SETTINGS_VARIABLE = "DAISYHUB_NODE_FILE"
EXIT_OK = 0
EXIT_SETTINGS = 2


def main() -> int:
    """Runs until SIGTERM or SIGINT; returns 2 if the settings are invalid."""
    # Dumps the stacks of all threads to stderr after a crash in native code.
    faulthandler.enable()
    path = os.environ.get(_SETTINGS_VARIABLE, "")
    if not path:
        print(f"{_SETTINGS_VARIABLE} is not set", file=sys.stderr)
        return EXIT_SETTINGS
    try:
        cfg = load_fleet_settings(path)
    except (DocumentError, OSError) as exc:
        print(exc, file=sys.stderr)
        return EXIT_SETTINGS
    set_up_decision_log()
    anyio.run(FleetDaemon(cfg, path).run)
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
