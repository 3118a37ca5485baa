"""What a process does with a signal."""

import pathlib

__all__ = ["is_signal_handled"]


def is_signal_handled(pid: int, number: int) -> bool:
    """Returns whether a process ignores or catches a signal now."""
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text("utf-8")
    except OSError:
        return False
    fields = dict(line.split(":", 1) for line in status.splitlines())
    masks = int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)
    return bool(masks >> (number - 1) & 1)
