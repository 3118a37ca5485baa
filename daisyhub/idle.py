"""A placeholder process that waits for a termination signal."""

import signal

__all__ = ["main"]


def main() -> None:
    """Waits for SIGTERM or SIGINT and ignores SIGHUP."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.sigwait({signal.SIGTERM, signal.SIGINT})


if __name__ == "__main__":
    main()
