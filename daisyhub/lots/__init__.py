"""Lots that are handed in whole and read by position."""

from daisyhub.lots._calls import EndLot, LotCall, ReadItemBody, ReadResults

__all__ = ["EndLot", "LotCall", "ReadItemBody", "ReadResults"]
