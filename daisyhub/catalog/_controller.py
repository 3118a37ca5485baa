"""Keeps the newest manifest; versions only rise within one start."""

import abc
from collections.abc import Callable

from daisyhub.catalog._types import Manifest, ManifestError
from daisyhub.logs import DecisionLog
from daisyhub.objects import StoredObject

__all__ = ["ManifestController", "ManifestReader"]

Listener = Callable[[Manifest], None]


class ManifestReader(abc.ABC):
    """Reads a manifest as the store holds it."""

    @abc.abstractmethod
    def read(self, spec: bytes) -> Manifest:
        """Returns the manifest.

        Raises:
            ManifestError: It can't be read.
        """


class ManifestController:
    """Takes manifests from the store's watch and from peers.

    Args:
        reader: Reads what the store holds.
        log: Where adoptions and faults are noted.
    """

    def __init__(self, reader: ManifestReader, log: DecisionLog):
        self._reader = reader
        self._log = log
        self._listeners: list[Listener] = []
        self._stored: StoredObject | None = None
        self.manifest: Manifest | None = None

    @property
    def active_object(self) -> StoredObject | None:
        """The object in force, for peers that lack it."""
        return self._stored

    @property
    def revision(self) -> int:
        """Revision of the object in force, 0 for none."""
        return self._stored.revision if self._stored else 0

    def add_listener(self, listener: Listener) -> None:
        """Calls `listener` with each manifest that comes into force."""
        self._listeners.append(listener)

    def adopt(self, found: StoredObject, source: str) -> bool:
        """Takes an object if it is newer; returns whether it did.

        Args:
            found: The manifest's object.
            source: Who brought it, for the log.
        """
        if found.is_deleted or found.revision <= self.revision:
            return False
        try:
            manifest = self._reader.read(found.spec)
        except ManifestError as exc:
            self._log.note(
                "manifest_unreadable",
                revision=found.revision,
                source=source,
                reason=str(exc),
            )
            return False
        if self.manifest and manifest.version < self.manifest.version:
            return False
        self._stored = found
        self.manifest = manifest
        self._log.note(
            "manifest_in_force",
            version=manifest.version,
            revision=found.revision,
            source=source,
            routes=len(manifest.routes),
        )
        for listener in self._listeners:
            listener(manifest)
        return True
