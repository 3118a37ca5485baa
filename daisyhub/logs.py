"""Logs: one short line an event, a fixed prefix for each part."""

import logging
import sys

from loguru import logger

__all__ = ["get_logger", "set_up_logs"]

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
