"""Compares the deterministic cores with simpler policies on a fake clock."""
