"""Tests of `daisyhub.config`."""
