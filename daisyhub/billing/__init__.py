"""Requests of client accounts, counted by windows of true time."""

from daisyhub.billing._meter import UsageMeter, WindowCounts

__all__ = ["UsageMeter", "WindowCounts"]
