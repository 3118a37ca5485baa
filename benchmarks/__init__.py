"""Benchmarks, which aren't part of the test suite."""
