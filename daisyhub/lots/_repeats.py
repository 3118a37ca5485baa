"""Tells repeats of a stored lot from other lots with its id."""

from daisyhub.exceptions import DaisyhubError
from daisyhub.lots._types import LotHead

__all__ = ["LotConflictError", "check_repeat"]


class LotConflictError(DaisyhubError):
    """Another lot is stored under the id of a submitted one."""

    code = "lot_conflict"


def check_repeat(stored: LotHead, head: LotHead) -> None:
    """Checks that `head` is of the same submission as the stored one.

    What the manifest adds may differ, and so may the time. A head has no
    account if the manifest in force at its daemon states none, or doesn't
    contain the key on an open route; it then matches that of any account, as a
    repeat neither shows nor changes anything of a lot. Heads without a digest,
    those of older builds, aren't compared by their items.

    Raises:
        LotConflictError: It isn't.
    """
    has_digests = stored.parts_digest and head.parts_digest
    accounts = {stored.account, head.account} - {""}
    is_same = len(accounts) <= 1 and _stated(stored) == _stated(head)
    if is_same and not (
        has_digests and stored.parts_digest != head.parts_digest
    ):
        return
    whose = "with other content"
    if len(accounts) > 1:
        whose = "of another account"
    raise LotConflictError(f"a lot {whose} has the id {head.lot_id}")


def _stated(head: LotHead) -> tuple:
    """Returns what the caller states of a lot, without its items."""
    return (
        head.lot_id,
        head.step,
        head.model,
        head.oldest_version,
        head.wanted_groups,
        head.total,
    )
