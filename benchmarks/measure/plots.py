"""Draws a bar chart per figure with medians and ranges."""

import pathlib

import matplotlib as mpl

mpl.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402

__all__ = ["draw"]

_DPI = 60
_PLOTS = (
    ("Look-ups", "worst_p99_s", "worst account in its share: p99, s"),
    (
        "Look-ups",
        "worst_refused",
        "worst account in its share: not answered",
    ),
    ("Look-ups", "price", "server seconds, priced, an answer"),
    ("Look-ups", "cheap_share", "share of work on cheap servers"),
    ("Lots", "idle_share", "trainer idle, share of its time"),
    ("Lots", "staleness", "versions behind at delivery, mean"),
    ("Usage", "late", "share of requests billed late"),
    ("Usage", "twice", "share of requests billed twice"),
    ("Usage", "never", "share of requests never billed"),
)


def draw(parts: dict, folder: pathlib.Path) -> None:
    """Writes `<figure>.png` for each plotted figure.

    Args:
        parts: Lists of `Row`, defined in `__main__`, by title of the table.
        folder: Folder of the files.
    """
    for part, figure, title in _PLOTS:
        _draw_one(parts[part], figure, title, folder / f"{figure}.png")


def _draw_one(rows: list, figure: str, title: str, path) -> None:
    names = [f"{row.site}: {row.policy}" for row in rows]
    cells = [row.cells[figure] for row in rows]
    medians = [cell.median for cell in cells]
    spread = [
        [cell.median - cell.low for cell in cells],
        [cell.high - cell.median for cell in cells],
    ]
    height = 1.0 + 0.25 * len(rows)
    fig, axes = plt.subplots(figsize=(8, height), layout="constrained")
    axes.barh(names, medians, xerr=spread, color="tab:blue", ecolor="black")
    axes.invert_yaxis()
    fig.suptitle(title)
    fig.savefig(path, dpi=_DPI)
    plt.close(fig)
