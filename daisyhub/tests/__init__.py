"""Tests of the package's top-level modules."""
