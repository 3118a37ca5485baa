"""No order of faults makes a daemon deny a lot that is stored."""

import itertools
import unittest
from unittest import mock

from daisyhub.logs import DecisionLog
from daisyhub.lots import LotStore, _lot_store, _parts
from daisyhub.lots.tests.acceptance_model import make_spec
from daisyhub.objects import ObjectStoreError, RelayedStore, RelayProvider
from daisyhub.testing.object_store import Fault, MemoryStore

_FAULTS = (None, Fault.REFUSED, Fault.RESPONSE_LOST, Fault.DELAYED)


class _OneByOneStore(MemoryStore):
    """A store whose calls have the given faults, whatever their verbs.

    Attributes:
        later_fault: Fault of all calls after these; None for no fault.
        is_readable: Whether `later_fault` applies to writes only.
    """

    def __init__(self, faults, later_fault):
        super().__init__()
        self.later_fault = later_fault
        self.is_readable = False
        self._faults = list(faults)

    def _next_fault(self, verb):
        if verb == "stale read":
            return None
        if self._faults:
            return self._faults.pop(0)
        if self.is_readable and verb == "read":
            return None
        return self.later_fault


class _Relays(RelayProvider):
    def __init__(self, *stores):
        self._stores = list(stores)

    def stores(self):
        return self._stores


def _direct(store):
    return LotStore(store)


def _relayed(store):
    log = DecisionLog("d", write=lambda _: True)
    return LotStore(RelayedStore(store, _Relays(store, store), log))


async def _count_false_promises(make_lots, parts, later_fault):
    """Accepts a lot in each order of faults of the first five store calls.

    Args:
        make_lots: Returns the `LotStore` over a store.
        parts: Number of parts of the lot.
        later_fault: Fault of the calls after the fifth, or None.

    Returns:
        The numbers of orders after which the attempt, and a repeat while the
        store refuses every call, says "not stored" of a stored lot.
    """
    first = repeated = 0
    spec = make_spec("a", "x", parts)
    for order in itertools.product(_FAULTS, repeat=5):
        store = _OneByOneStore(order, later_fault)
        is_promised = await _is_promised(make_lots(store), spec)
        store.run_delayed_writes()
        if (_lot_store.LOTS_KIND, "a") not in store.objects:
            continue
        first += is_promised is True
        if is_promised is not None:
            store = _refusing(store)
            repeated += await _is_promised(make_lots(store), spec) is True
    return first, repeated


async def _count_promises_before_delayed_creates(make_lots, parts):
    """Returns the number of orders with a promise that a late create breaks.

    The promise is that of a repeat while the store refuses all writes.
    """
    count = 0
    spec = make_spec("a", "x", parts)
    for order in itertools.product(_FAULTS, repeat=5):
        store = _OneByOneStore(order, Fault.REFUSED)
        if await _is_promised(make_lots(store), spec) is not False:
            continue
        store.is_readable = True
        is_promised = await _is_promised(make_lots(store), spec)
        store.run_delayed_writes()
        is_stored = (_lot_store.LOTS_KIND, "a") in store.objects
        count += is_promised is True and is_stored
    return count


def _refusing(store):
    """Returns a store with the same objects that refuses every call."""
    refusing = _OneByOneStore((), Fault.REFUSED)
    refusing.objects = store.objects
    return refusing


async def _is_promised(lots, spec):
    """Returns whether "not stored" was said; None if the lot is accepted."""
    try:
        await lots.accept(spec)
    except ObjectStoreError as exc:
        return not exc.may_be_done
    return None


class FaultOrderTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_order_of_faults_denies_a_stored_lot(self):
        for make_lots, parts, later_fault in itertools.product(
            (_direct, _relayed), (1, 2), (None, Fault.REFUSED)
        ):
            with (
                self.subTest(
                    make_lots.__name__, parts=parts, later=later_fault
                ),
                mock.patch.object(_parts, "_MAX_PART_BYTES", 1),
            ):
                counts = await _count_false_promises(
                    make_lots, parts, later_fault
                )
                self.assertEqual(counts, (0, 0), "first attempt, repeat")

    async def test_no_repeat_denies_a_lot_whose_create_is_delayed(self):
        for make_lots, parts in itertools.product((_direct, _relayed), (1, 2)):
            with (
                self.subTest(make_lots.__name__, parts=parts),
                mock.patch.object(_parts, "_MAX_PART_BYTES", 1),
            ):
                count = await _count_promises_before_delayed_creates(
                    make_lots, parts
                )
                self.assertEqual(count, 0)
