"""Logs as text or JSON, and a structured log of events.

`DecisionLog` writes one JSON object per event, from which operators
reconstruct a failure. Its volume is bounded and writing never blocks.
"""

import logging
import os
import sys
import time

import msgspec
from loguru import logger

__all__ = ["DecisionLog", "get_logger", "set_up_decision_log", "set_up_logs"]

_TEXT_FORMAT = "{time:HH:mm:ss.SSS} {level: <7} {extra[part]}: {message}"


def set_up_logs(log_format: str, level: str = "INFO") -> None:
    """Sends logs to standard error.

    Tracebacks don't show values of variables, which may be secrets.

    Args:
        log_format: `text` or `json`.
        level: Lowest level that is written.
    """
    logging.getLogger("uvicorn").setLevel(logging.CRITICAL)
    logger.remove()
    if log_format == "json":
        logger.add(sys.stderr, level=level, serialize=True, diagnose=False)
        return
    logger.add(
        sys.stderr,
        level=level,
        format=_TEXT_FORMAT,
        colorize=False,
        diagnose=False,
    )


def get_logger(part: str):
    """Returns a logger whose lines are prefixed with `part`."""
    return logger.bind(part=part)


# Burst size and sustained rate of the log's token bucket, which keep the cost
# of logging at a few percent of a core under any load.
_MAX_BURST_LINES = 400
_MAX_LINES_PER_S = 200.0
_STDOUT = 1


class DecisionLog:
    """Writes decisions, failures and recoveries as JSON lines.

    Args:
        daemon_id: Id of this daemon, added to each line.
        write: Writes one line of text; returns False if it was dropped. None
            writes to the sink of `set_up_decision_log`.
    """

    def __init__(self, daemon_id: str, write=None):
        self._daemon_id = daemon_id
        self._write = write or _write_line
        self._available_lines = float(_MAX_BURST_LINES)
        self._refilled_at_s = 0.0
        self._dropped_count = 0

    def record(self, event: str, **fields: object) -> None:
        """Writes a line, or drops it if the volume limit is reached.

        The next line that is written has the number of dropped lines.

        Args:
            event: Fixed name of the event.
            **fields: Further fields, such as the request id, the inputs of the
                decision and its outcome.
        """
        now_s = time.monotonic()
        refill = (now_s - self._refilled_at_s) * _MAX_LINES_PER_S
        self._available_lines = min(
            _MAX_BURST_LINES, self._available_lines + refill
        )
        self._refilled_at_s = now_s
        if self._available_lines < 1:
            self._dropped_count += 1
            return
        self._available_lines -= 1
        line = {"t": round(now_s, 3), "at": self._daemon_id, "event": event}
        line.update(fields)
        if self._dropped_count:
            line["dropped_before"] = self._dropped_count
        is_written = self._write(_encode_line(line))
        self._dropped_count = 0 if is_written else self._dropped_count + 1


def _encode_line(line: dict) -> str:
    return msgspec.json.encode(line, enc_hook=str).decode() + "\n"


def _write_line(line: str) -> bool:
    """Writes a line to the sink; returns False if the pipe is full."""
    try:
        logger.opt(raw=True).info(line)
    except BlockingIOError:
        return False
    return True


def set_up_decision_log() -> None:
    """Sends the lines of `DecisionLog` to non-blocking standard output."""
    logging.getLogger("uvicorn").setLevel(logging.CRITICAL)
    os.set_blocking(_STDOUT, False)
    logger.remove()
    logger.add(
        lambda message: os.write(_STDOUT, message.encode()),
        level="INFO",
        format="{message}",
        diagnose=False,
        # Lets a `BlockingIOError` reach `_write_line`.
        catch=False,
    )
