"""Tests of the platform adapters."""
