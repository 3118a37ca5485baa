"""Measures of the decision cores under a fake clock, against plain policies."""
