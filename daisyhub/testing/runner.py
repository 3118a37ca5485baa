"""Runs all tests and prints a line with the number of passes and failures.

Tests listed in KNOWN-RED.txt are known failures: they run and are printed, but
don't fail the run. With the default pattern, an entry whose test doesn't fail,
or isn't run, fails the run until it is removed.
"""

import logging
import os
import pathlib
import sys
import unittest

from absl import app, flags

from daisyhub.logs import set_up_logs

__all__ = ["read_known_red"]

_PATTERN = flags.DEFINE_string(
    "pattern", "test_*.py", "Pattern of the names of test files."
)
_START = flags.DEFINE_string(
    "start", "daisyhub", "Folder in which to search for tests."
)
_KNOWN_RED_FILE = "KNOWN-RED.txt"


def read_known_red(text: str) -> dict[str, str]:
    """Parses KNOWN-RED.txt; returns the reason of each entry by test id."""
    entries = {}
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        test_id, _, reason = line.partition("|")
        entries[test_id.strip()] = reason.strip()
    return entries


def _test_id(test) -> str:
    """Returns the id of a test; for a subtest, the id of its test."""
    return getattr(test, "test_case", test).id()


def _run(_: list[str]) -> int:
    set_up_logs("text", "ERROR")
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    sys.path.insert(0, os.getcwd())
    suite = unittest.defaultTestLoader.discover(
        _START.value, pattern=_PATTERN.value, top_level_dir="."
    )
    result = unittest.TextTestRunner(
        verbosity=1, stream=sys.stdout, buffer=True
    ).run(suite)
    known_red = read_known_red(
        pathlib.Path(_KNOWN_RED_FILE).read_text(encoding="utf-8")
    )
    failing = {_test_id(test) for test, _ in result.failures + result.errors}
    failing |= {_test_id(test) for test in result.unexpectedSuccesses}
    return _report(result, failing, known_red)


def _report(result, failing: set[str], known_red: dict[str, str]) -> int:
    is_default_pattern = _PATTERN.value == "test_*.py"
    for test_id in sorted(failing & set(known_red)):
        print(f"known red: {test_id}: {known_red[test_id]}")
    now_passing = set(known_red) - failing if is_default_pattern else set()
    for test_id in sorted(now_passing):
        print(f"passes again, remove it from {_KNOWN_RED_FILE}: {test_id}")
    failed = len(failing - set(known_red)) + len(now_passing)
    passed = result.testsRun - len(failing) - len(now_passing)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not result.testsRun else 0


if __name__ == "__main__":
    app.run(_run)
