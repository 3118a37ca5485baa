"""Broken variants of `LotStore`, which the state machine must detect.

They change what the store shows to the class or what the class raises.
"""

import contextlib
import math

from daisyhub.lots import LotStore
from daisyhub.lots._lot_store import LOTS_KIND, LotStatus
from daisyhub.lots._repeats import LotConflictError
from daisyhub.objects import ObjectConflictError, ObjectStoreError


class _Variant(LotStore):
    """A broken variant: changes what the store shows, or what is raised."""

    def __init__(self, store):
        super().__init__(self)
        self._inner = store

    async def read(self, kind, name, *, can_be_stale=False):
        return await self._inner.read(kind, name, can_be_stale=can_be_stale)

    async def create(self, kind, name, spec):
        return await self._inner.create(kind, name, spec)


class TrustsFailedRead(_Variant):
    """Broken: a failed read of the head counts as one that found none."""

    async def read(self, kind, name, *, can_be_stale=False):
        try:
            return await super().read(kind, name, can_be_stale=can_be_stale)
        except ObjectStoreError:
            return None


class TrustsStaleRead(_Variant):
    """Broken: a read that may be stale counts as a current one."""

    async def read(self, kind, name, *, can_be_stale=False):
        return await super().read(kind, name, can_be_stale=True)


class HidesStoredParts(_Variant):
    """Broken: a stored part counts as absent."""

    async def read(self, kind, name, *, can_be_stale=False):
        if kind != LOTS_KIND:
            return None
        return await super().read(kind, name, can_be_stale=can_be_stale)


class ForgetsUnknownCreate(HidesStoredParts):
    """Broken: a create of unknown outcome counts as not done."""

    async def create(self, kind, name, spec):
        try:
            return await super().create(kind, name, spec)
        except ObjectStoreError as exc:
            raise ObjectStoreError(str(exc), may_be_done=False) from exc


class AcceptsWithoutParts(_Variant):
    """Broken: stores the head though a part isn't stored."""

    async def create(self, kind, name, spec):
        try:
            return await super().create(kind, name, spec)
        except ObjectStoreError:
            if kind == LOTS_KIND:
                raise
            return None


class DeniesAfterConflict(_Variant):
    """Broken: a conflict followed by a failure counts as not run."""

    async def create(self, kind, name, spec):
        try:
            return await super().create(kind, name, spec)
        except ObjectConflictError:
            self._conflicts.add(name)
            raise

    async def accept(self, spec, until_s=math.inf):
        self._conflicts = set()
        try:
            return await super().accept(spec, until_s)
        except ObjectStoreError as exc:
            if spec.head.lot_id not in self._conflicts:
                raise
            raise ObjectStoreError(str(exc), may_be_done=False) from exc


class PromisesFromParts(_Variant):
    """Broken: promises from a part's failure, also on a repeat."""

    async def create(self, kind, name, spec):
        self._kinds.add(kind)
        return await super().create(kind, name, spec)

    async def accept(self, spec, until_s=math.inf):
        self._kinds = set()
        try:
            return await super().accept(spec, until_s)
        except ObjectStoreError as exc:
            if LOTS_KIND in self._kinds:
                raise
            raise ObjectStoreError(str(exc), may_be_done=False) from exc


class IgnoresOtherHead(_Variant):
    """Broken: takes the head of an earlier lot for its own."""

    async def accept(self, spec, until_s=math.inf):
        with contextlib.suppress(LotConflictError):
            await super().accept(spec, until_s)
        return spec.head, LotStatus()


class IgnoresAge(_Variant):
    """Broken: accepts a lot long after its caller left."""

    async def accept(self, spec, until_s=math.inf):
        return await super().accept(spec)
