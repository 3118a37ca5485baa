"""A process that does nothing until it is told to stop."""

import signal

__all__ = ["main"]


def main() -> None:
    """Waits for SIGTERM or SIGINT; other settings don't concern it."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.sigwait({signal.SIGTERM, signal.SIGINT})


if __name__ == "__main__":
    main()
