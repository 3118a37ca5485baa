"""Adapters that run the product on the users' platform."""
