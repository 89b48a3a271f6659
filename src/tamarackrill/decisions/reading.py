"""How a router reads what is new of a large object: its newest version, or each change.

Load pattern: operators change a manifest of hundreds of kilobytes every second, and
routers are restarted or cut off meanwhile.  The answer of a watch holds every version
since the one that is held, one after the other.  A router that has missed three reads
three manifests over its thin link, and has the newest in force last; while it reads,
the next ones pile up.  A list holds the newest version alone.

So a router lists when it knows that it has missed something: another router holds a
newer version, the answer before held several, or the one that begins is too long to
hold but one.  A watch is for what is not known yet, as it costs nothing when nothing
has changed.
"""

from collections.abc import Iterable

from tamarackrill.decisions.configuration import ConfigurationDigest, needs_changes

# An answer of a watch that is longer than a list by this factor holds more than one
# version, or one that has grown by half.
SEVERAL_FACTOR = 1.5
# What an answer holds besides the object; a short one isn't worth a second call.
ENVELOPE_BYTES = 16 * 1024


class ReadPlanner:
    """What is known of the versions of one kind that this router has not read."""

    def __init__(self) -> None:
        self._news: ConfigurationDigest | None = None
        self._is_behind = False
        self._listed_bytes = 0

    @property
    def watch_max_bytes(self) -> int | None:
        """Longest answer of a watch to read; None before the first list."""
        if not self._listed_bytes:
            return None
        return int(SEVERAL_FACTOR * self._listed_bytes) + ENVELOPE_BYTES

    def observe_peer(self, digest: ConfigurationDigest) -> None:
        """Take what another router holds."""
        self._news = digest

    def has_news(self, own: ConfigurationDigest) -> bool:
        """Return whether another router is known to hold what this one doesn't."""
        return self._news is not None and needs_changes(own, self._news)

    def must_list(self, own: ConfigurationDigest) -> bool:
        """Return whether to list next instead of watching."""
        return self._is_behind or self.has_news(own)

    def observe_list(self, is_changed: bool, size_bytes: int = 0) -> None:
        """Take that a list was read, whether it brought anything, and its size."""
        self._listed_bytes = size_bytes
        # Changes that still come while one is read are read the same way.
        self._is_behind = self._is_behind and is_changed
        self._news = None

    def observe_watch(self, names: Iterable[str]) -> None:
        """Take the names of the objects in a watch's answer, one for each version."""
        listed = list(names)
        self._is_behind = len(set(listed)) < len(listed)
        self._news = None
