"""Tests of the HTTP servers."""
