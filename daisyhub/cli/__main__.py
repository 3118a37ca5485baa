"""Runs the command line as `python -m daisyhub.cli`."""

from daisyhub.cli import main

main()
