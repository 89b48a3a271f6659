"""Reads the manifest in force from another router if the store's can't be used."""

import asyncio
import json
import zlib
from collections.abc import Awaitable, Callable

from tamarackrill.decisions.configuration import ObjectVersion
from tamarackrill.decisions.lost_manifests import LostManifests, ToldManifest
from tamarackrill.events import MANIFEST_NOT_RECOVERED, MANIFEST_RECOVERED, log_event
from tamarackrill.lenient_json import decode
from tamarackrill.router.background import log_task_failure
from tamarackrill.router.deployment_view import DeploymentView
from tamarackrill.router.peer_api import (
    COMPRESSION_LEVEL,
    MANIFEST_PATH,
    PULL_TIMEOUT_S,
    PeerUnavailable,
)
from tamarackrill.store_api import make_object

# What a malformed answer, or a malformed manifest in it, raises.
_INVALID = (
    ArithmeticError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
    zlib.error,
)

Pull = Callable[[str, str, float], Awaitable[bytes]]


class ManifestRecovery:
    """Recovers a manifest that the store has lost from routers that have it in force.

    Parameters
    ----------
    view : DeploymentView
        Has the manifest in force here.
    pull : callable
        ``await pull(address, uri, timeout_s)`` returns an answer of another router.
    on_recovered : callable
        Called once a manifest has come into force.
    """

    def __init__(
        self, view: DeploymentView, pull: Pull, on_recovered: Callable[[], None]
    ) -> None:
        self._view = view
        self._pull = pull
        self._on_recovered = on_recovered
        self._lost = LostManifests()
        self._task: asyncio.Task[None] | None = None

    def observe(self, address: str, told: ToldManifest) -> None:
        """Process what the router at an address tells of its manifest."""
        self._lost.observe(address, told)
        self.update()

    def update(self) -> None:
        """Read a manifest if another router has a newer one than the store."""
        if self._choose() is None or (self._task and not self._task.done()):
            return
        self._task = asyncio.create_task(self._recover(), name="recover manifest")
        self._task.add_done_callback(log_task_failure)

    def encode(self) -> bytes:
        """Return the manifest in force here, as the answer to another router."""
        item = self._view.manifest_item
        fields = None if item is None else tuple(item)
        return zlib.compress(json.dumps(fields).encode(), COMPRESSION_LEVEL)

    async def stop(self) -> None:
        """Cancel the reading."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _choose(self) -> str | None:
        own = self._view.tell_manifest()
        is_unreadable = not own.version and own.is_lost
        return self._lost.choose(own.version, own.era, is_unreadable)

    async def _recover(self) -> None:
        while (address := self._choose()) is not None:
            # Also after success, as the next choice is of what is still newer.
            self._lost.remove(address)
            try:
                text = await self._pull(address, MANIFEST_PATH, PULL_TIMEOUT_S)
                self._view.recover_manifest(_parse(text))
            except (PeerUnavailable, *_INVALID) as error:
                log_event(MANIFEST_NOT_RECOVERED, peer=address, reason=repr(error))
                continue
            own = self._view.tell_manifest()
            log_event(MANIFEST_RECOVERED, peer=address, version=own.version)
            self._on_recovered()


def _parse(text: bytes) -> ObjectVersion:
    """Parse the answer of another router; raises one of `_INVALID`."""
    kind, name, version, value = decode(zlib.decompress(text))
    return ObjectVersion(*make_object(str(kind), name, version, dict(value)))
