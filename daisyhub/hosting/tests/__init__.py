"""Tests of `daisyhub.hosting`."""
