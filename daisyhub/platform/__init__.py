"""Runs the product on the users' platform; translates, and nothing else."""
