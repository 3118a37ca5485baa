"""Tests of `daisyhub.identity`."""
