"""Whether a router reads a large object by a list (newest version) or by a watch.

Load pattern: operators change a manifest of hundreds of kilobytes every second, and
routers are restarted or partitioned meanwhile.  The answer of a watch contains every
version since the one that is held.  A router that has missed three versions reads three
manifests over its slow link and applies the newest last, while further ones pile up.
A list contains only the newest version.

So a router lists when it knows that it has missed something: another router holds a
newer version, the previous answer contained several, or the current one is too long to
contain only one.  Otherwise it watches, which costs nothing while nothing changes.
"""

from collections.abc import Iterable

from tamarackrill.decisions.configuration import ConfigurationDigest, needs_changes

# A watch's answer that is longer than a list by this factor contains several versions,
# or one that has grown by half.
SEVERAL_FACTOR = 1.5
# Allowance for the rest of an answer; aborting a short one is not worth a second call.
ENVELOPE_BYTES = 16 * 1024


class ReadPlanner:
    """Chooses between list and watch for one kind of objects."""

    def __init__(self) -> None:
        self._peer_digest: ConfigurationDigest | None = None
        self._is_behind = False
        self._listed_bytes = 0

    @property
    def watch_max_bytes(self) -> int | None:
        """Size at which to abort a watch's answer; None before the first list."""
        if not self._listed_bytes:
            return None
        return int(SEVERAL_FACTOR * self._listed_bytes) + ENVELOPE_BYTES

    def observe_peer(self, digest: ConfigurationDigest) -> None:
        """Record what another router holds."""
        self._peer_digest = digest

    def knows_newer_version(self, own: ConfigurationDigest) -> bool:
        """Return whether another router is known to hold something newer."""
        return self._peer_digest is not None and needs_changes(own, self._peer_digest)

    def must_list(self, own: ConfigurationDigest) -> bool:
        """Return whether to list next instead of watching."""
        return self._is_behind or self.knows_newer_version(own)

    def observe_list(self, is_changed: bool, size_bytes: int = 0) -> None:
        """Record that a list was read, whether it brought a change, and its size."""
        self._listed_bytes = size_bytes
        # Changes that arrived during the read are read by a list too.
        self._is_behind = self._is_behind and is_changed
        self._peer_digest = None

    def observe_watch(self, names: Iterable[str]) -> None:
        """Record the object names in a watch's answer, one for each version."""
        listed = list(names)
        self._is_behind = len(set(listed)) < len(listed)
        self._peer_digest = None
