"""Runs a daemon on the users' platform; the adapters only translate formats."""
