"""A process without work, for a role that the platform requires.

The platform asks for a process on instances with disks, where daisyhub stores
nothing.
"""

import signal

__all__ = ["main"]


def main() -> None:
    """Waits for SIGTERM or SIGINT and ignores SIGHUP."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.sigwait({signal.SIGTERM, signal.SIGINT})


if __name__ == "__main__":
    main()
