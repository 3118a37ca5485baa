"""The work of the latest lot of each model."""

from collections.abc import Callable

from daisyhub.lots._types import LotHead

__all__ = ["LotDemand"]


class LotDemand:
    """Estimates the work of lots, in seconds of a slot.

    It changes only when a lot is opened, so that engines don't change their
    model with each small change of the usual duration of runs.
    """

    def __init__(self):
        # Number of items of the latest lot by model.
        self._items_by_model: dict[str, int] = {}
        self._demand: dict[str, float] = {}

    def by_model(self) -> dict[str, float]:
        """Returns the work of the latest lot by model."""
        return dict(self._demand)

    def add_lot(
        self, head: LotHead, mean_run_s: Callable[[str], float]
    ) -> None:
        """Updates the estimate.

        Tokens don't tell it: most are of the prompt, which is read at once,
        while a slot is taken for as long as the text grows. Models whose runs
        have no known duration yet get the mean of the others.

        Args:
            head: The lot that was opened.
            mean_run_s: Returns the usual duration of a model's runs; 0 if
                unknown.
        """
        self._items_by_model[head.model] = head.total
        known_s = {
            model: run_s
            for model in self._items_by_model
            if (run_s := mean_run_s(model))
        }
        default_s = sum(known_s.values()) / len(known_s) if known_s else 1.0
        self._demand = {
            model: count * known_s.get(model, default_s)
            for model, count in self._items_by_model.items()
        }
