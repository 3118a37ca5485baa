"""Logs: one short line an event, a fixed prefix for each part.

`DecisionLog` writes the structured lines by which operators explain a failure
afterwards: one JSON object a decision, bounded in volume, never blocking.
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
    """Sends logs to standard error as `text` or `json` lines.

    Tracebacks show no values of variables, which may be secrets.
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
    """Returns a logger whose lines carry the prefix `part`."""
    return logger.bind(part=part)


# Lines that may be written at once, and a second after that; bounds the cost
# of logs to some percent of a core under any load.
_BURST_LINES = 400
_LINES_PER_S = 200.0
_STDOUT = 1


class DecisionLog:
    """Structured lines: one for each decision, loss or return.

    Args:
        daemon_id: Written with each line.
        write: Takes one line of text, and returns False if it was dropped.
    """

    def __init__(self, daemon_id: str, write=None):
        self._daemon_id = daemon_id
        self._write = write or _write_line
        self._budget = float(_BURST_LINES)
        self._refilled_s = 0.0
        self._dropped = 0

    def record(self, event: str, **fields: object) -> None:
        """Writes a line, unless the volume's bound is reached.

        Args:
            event: What was decided or learned, a fixed word.
            **fields: Request id, the inputs that decided, and the outcome.
        """
        now_s = time.monotonic()
        gained = (now_s - self._refilled_s) * _LINES_PER_S
        self._budget = min(_BURST_LINES, self._budget + gained)
        self._refilled_s = now_s
        if self._budget < 1:
            self._dropped += 1
            return
        self._budget -= 1
        line = {"t": round(now_s, 3), "at": self._daemon_id, "event": event}
        line.update(fields)
        if self._dropped:
            line["dropped_before"] = self._dropped
        is_written = self._write(_encode_line(line))
        self._dropped = 0 if is_written else self._dropped + 1


def _encode_line(line: dict) -> str:
    return msgspec.json.encode(line, enc_hook=str).decode() + "\n"


def _write_line(line: str) -> bool:
    """Hands a line to the sink; False if the pipe is full."""
    try:
        logger.opt(raw=True).info(line)
    except BlockingIOError:
        return False
    return True


def set_up_decision_log() -> None:
    """Sends the lines of `DecisionLog` to standard output, never blocking."""
    logging.getLogger("uvicorn").setLevel(logging.CRITICAL)
    os.set_blocking(_STDOUT, False)
    logger.remove()
    logger.add(
        lambda message: os.write(_STDOUT, message.encode()),
        level="INFO",
        format="{message}",
        diagnose=False,
        catch=False,
    )
