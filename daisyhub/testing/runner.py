"""Runs all tests, passes over KNOWN-RED.txt, and prints one closing line.

An entry of KNOWN-RED.txt is run and printed, and doesn't fail the run; an
entry that passes again fails it until it is removed.
"""

import logging
import os
import pathlib
import sys
import unittest

from absl import app, flags

from daisyhub.logs import set_up_logs

__all__ = ["read_known_red"]

_PATTERN = flags.DEFINE_string("pattern", "test_*.py", "Names of test files.")
_START = flags.DEFINE_string("start", "daisyhub", "Folder to search.")
_KNOWN_RED_FILE = "KNOWN-RED.txt"


def read_known_red(text: str) -> dict[str, str]:
    """Returns test ids and the rest of their lines."""
    entries = {}
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        test_id, _, rest = line.partition("|")
        entries[test_id.strip()] = rest.strip()
    return entries


def _test_id(test) -> str:
    """Returns the id of a test; a subtest counts under its test."""
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
    red = {_test_id(test) for test, _ in result.failures + result.errors}
    red |= {_test_id(test) for test in result.unexpectedSuccesses}
    return _report(result, red, known_red)


def _report(result, red: set[str], known_red: dict[str, str]) -> int:
    run_all = _PATTERN.value == "test_*.py"
    for test_id in sorted(red & set(known_red)):
        print(f"known red: {test_id}: {known_red[test_id]}")
    mended = set(known_red) - red if run_all else set()
    for test_id in sorted(mended):
        print(f"passes again, remove it from {_KNOWN_RED_FILE}: {test_id}")
    failed = len(red - set(known_red)) + len(mended)
    passed = result.testsRun - len(red) - len(mended)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not result.testsRun else 0


if __name__ == "__main__":
    app.run(_run)
