"""Tests of `daisyhub.catalog`."""
