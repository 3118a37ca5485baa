"""Benchmarks, apart from the tests."""
