"""Keeps the newest manifest; its version only increases until a restart."""

import abc
from collections.abc import Callable

from daisyhub.catalog._types import Manifest, ManifestError
from daisyhub.logs import DecisionLog
from daisyhub.objects import StoredObject

__all__ = ["ManifestController", "ManifestReader"]

Listener = Callable[[Manifest], None]


class ManifestReader(abc.ABC):
    """Decodes manifests from the format of the store."""

    @abc.abstractmethod
    def read(self, spec: bytes) -> Manifest:
        """Returns the decoded manifest.

        Raises:
            ManifestError: The manifest is invalid.
        """


class ManifestController:
    """Activates manifests from the store's watch and from peers.

    Args:
        reader: Decodes manifests.
        log: Records activated and invalid manifests.
    """

    def __init__(self, reader: ManifestReader, log: DecisionLog):
        self._reader = reader
        self._log = log
        self._listeners: list[Listener] = []
        self._active_object: StoredObject | None = None
        self.manifest: Manifest | None = None

    @property
    def active_object(self) -> StoredObject | None:
        """Object of the active manifest, for peers; None before the first."""
        return self._active_object

    @property
    def revision(self) -> int:
        """Revision of the active object; 0 before the first."""
        return self._active_object.revision if self._active_object else 0

    def add_listener(self, listener: Listener) -> None:
        """Registers a callback that is called with each activated manifest."""
        self._listeners.append(listener)

    def adopt(self, found: StoredObject, source: str) -> bool:
        """Activates a manifest if it is valid and newer.

        It is newer if its revision is higher and its version isn't lower.

        Args:
            found: Object of the manifest.
            source: Where the object was received from, for the log.

        Returns:
            Whether the manifest was activated.
        """
        if found.is_deleted or found.revision <= self.revision:
            return False
        try:
            manifest = self._reader.read(found.spec)
        except ManifestError as exc:
            self._log.record(
                "manifest_unreadable",
                revision=found.revision,
                source=source,
                reason=str(exc),
            )
            return False
        if self.manifest and manifest.version < self.manifest.version:
            return False
        self._active_object = found
        self.manifest = manifest
        self._log.record(
            "manifest_in_force",
            version=manifest.version,
            revision=found.revision,
            source=source,
            routes=len(manifest.routes),
        )
        for listener in self._listeners:
            listener(manifest)
        return True
