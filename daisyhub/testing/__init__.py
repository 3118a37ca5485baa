"""Fakes of the systems around the daemon, and tools to run them."""
