"""This daemon's shares of the accounts' rate limits."""

import math

from daisyhub.accounting._share_core import (
    LoanGranted,
    LoanRequested,
    SendLoanGrant,
    SendLoanRequest,
    ShareCore,
    ShareTick,
)

__all__ = ["RateShares"]

# Weight of the newest measurement in the smoothed request rate.
_SMOOTHING_FACTOR = 0.5
# Accounts with a lower smoothed rate are dropped.
_MIN_RATE_PER_S = 0.01


class RateShares:
    """Measures demand per account and exchanges loans through a `ShareCore`.

    Args:
        core: Decides which quanta to borrow and lend.
        started_s: Start of the first measurement, on the core's clock.
    """

    def __init__(self, core: ShareCore, started_s: float):
        self._core = core
        self._measured_at_s = started_s
        self._arrivals: dict[str, int] = {}
        self._limits: dict[str, float] = {}
        self._rates: dict[str, float] = {}

    def share(self, account: str, limit_per_s: float, now_s: float) -> float:
        """Counts a request and returns the usable share of the limit (0-1)."""
        self._arrivals[account] = self._arrivals.get(account, 0) + 1
        self._limits[account] = limit_per_s
        return self._core.share(account, now_s)

    def active_shares(self, now_s: float) -> dict[str, float]:
        """Returns the usable shares (0-1) of accounts with recent requests."""
        return {
            account: self._core.share(account, now_s)
            for account in sorted(self._rates)
        }

    def tick(
        self, live: tuple[str, ...], now_s: float
    ) -> list[SendLoanRequest | SendLoanGrant]:
        """Updates the measured rates and returns the messages to peers.

        Args:
            live: Ids of the live peers in the failure domain.
            now_s: Time on the core's clock.
        """
        self._measure(now_s)
        wanted = {
            account: self._wanted_quanta(account) for account in self._rates
        }
        return self._core.handle(ShareTick(wanted, live), now_s)

    def handle(self, event: LoanRequested | LoanGranted, now_s: float) -> None:
        """Handles a peer's loan request or grant."""
        self._core.handle(event, now_s)

    def _measure(self, now_s: float) -> None:
        elapsed_s = now_s - self._measured_at_s
        if elapsed_s <= 0:
            return
        arrivals, self._arrivals = self._arrivals, {}
        self._measured_at_s = now_s
        for account in {**self._rates, **arrivals}:
            current_rate = arrivals.get(account, 0) / elapsed_s
            rate = self._rates.get(account, current_rate)
            rate += _SMOOTHING_FACTOR * (current_rate - rate)
            self._rates[account] = rate
            if rate < _MIN_RATE_PER_S:
                del self._rates[account], self._limits[account]

    def _wanted_quanta(self, account: str) -> int:
        used = self._rates[account] / self._limits[account]
        return math.ceil(used * self._core.total)
