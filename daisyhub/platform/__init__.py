"""Adapters between the product and the users' platform; they only translate."""
