"""Versioned local store of the platform's configuration, which never reverts.

Load pattern: every router receives each change several times and in any order: from
its watch, from a list read after an outage, from peers.  Without versions a stale
read, a peer that was frozen, or a router that restarts from its peers would bring an
old contract back into force, and a customer's limits would depend on the router that
serves the request.

The platform numbers all writes and deletions by one global revision, so versions of
an object are totally ordered without a clock.  An object is stored only if its version
is above the one held.

A deletion leaves a tombstone, or a late copy of the object would look new.  Platforms
don't all tell the revision of a deletion; some tell that of the object's last write.
The version of a tombstone is therefore a bound: no version of the object below it
exists any longer, and one that is equal to it was created after the deletion.  In
addition each kind has a ``complete`` revision: the store holds everything that
happened up to it, so an unknown object at or below it must have been deleted.
Tombstones at or below it can therefore be dropped; `TOMBSTONES_MAX` of them are kept,
so that peers that are slightly behind can be sent changes instead of a full list.
3,900 changes a day, if all were deletions, would fill it in six hours; a peer that was
away for longer gets the full list.

A platform that is restored from a copy gives out revisions again.  It numbers its eras,
and revisions are compared only within one: a newer era begins with a full list, which
replaces what is held, and what an earlier era says is ignored.  The list may lack what
was written since the copy; whoever uses the objects decides what stays in force
meanwhile.
"""

import hashlib
from collections.abc import Iterable
from typing import Any, NamedTuple

TOMBSTONES_MAX = 1024
_HASH_MODULUS = 1 << 64


class ObjectVersion(NamedTuple):
    """One version of one object of the platform; no value means deleted."""

    kind: str
    name: str
    version: int
    value: dict[str, Any] | None


class ConfigurationDigest(NamedTuple):
    """Summary of the objects of one kind that a router holds, sent to its peers.

    Parameters
    ----------
    kind : str
        Kind of the objects.
    complete : int
        Revision up to which no change is missing.
    newest : int
        Highest version held, deletions included.
    content : int
        Hash over name and version of the existing objects.  It shows whether two
        routers differ where their revisions do not, as the platform's revision also
        counts writes of other kinds.
    era : int, default=0
        Era of the revisions; 0 if unknown, as from routers of an earlier release.
    """

    kind: str
    complete: int
    newest: int
    content: int
    era: int = 0


class ChangeSet(NamedTuple):
    """Objects of one kind that a peer lacks.

    Parameters
    ----------
    kind : str
        Kind of the objects.
    objects : tuple of ObjectVersion
        Objects and tombstones.
    complete : int
        Revision up to which the sender misses no change.
    is_snapshot : bool
        Whether `objects` is the full list instead of the changes.
    era : int, default=0
        Era of the revisions; 0 if unknown.
    """

    kind: str
    objects: tuple[ObjectVersion, ...]
    complete: int
    is_snapshot: bool
    era: int = 0


class ConfigurationStore:
    """Objects of the platform in their newest known versions."""

    def __init__(self) -> None:
        self._held: dict[str, dict[str, ObjectVersion]] = {}
        self._complete: dict[str, int] = {}
        self._history_from: dict[str, int] = {}
        self._content: dict[str, int] = {}
        self._newest: dict[str, int] = {}
        # By kind and name of a tombstone: a revision at or above that of the deletion.
        self._deleted_by: dict[str, dict[str, int]] = {}
        self._eras: dict[str, int] = {}
        # Revision of the list with which the era began here.
        self._listed: dict[str, int] = {}
        # Kinds that were held in an earlier era.
        self._restored: set[str] = set()

    @property
    def revision(self) -> int:
        """Highest version held of any kind, deletions included."""
        return max(self._newest.values(), default=0)

    def get(self, kind: str, name: str) -> ObjectVersion | None:
        """Return the object, or None if it does not exist."""
        held = self._held.get(kind, {}).get(name)
        return held if held is not None and held.value is not None else None

    def items(self, kind: str) -> list[ObjectVersion]:
        """Return the existing objects of one kind, by name."""
        found = self._held.get(kind, {}).values()
        return sorted(
            (item for item in found if item.value is not None),
            key=lambda item: item.name,
        )

    def get_complete(self, kind: str) -> int:
        """Return the revision up to which no change of `kind` is missing."""
        return self._complete.get(kind, 0)

    def get_era(self, kind: str) -> int:
        """Return the era of the revisions of `kind`, 0 if unknown."""
        return self._eras.get(kind, 0)

    def is_of_era(self, item: ObjectVersion) -> bool:
        """Return whether a version is known to have been written in the current era.

        Others may be, too, or come from the copy of an earlier one.
        """
        listed = self._listed.get(item.kind)
        return listed is not None and item.version > listed

    def is_comparable(self, other: ConfigurationDigest | ChangeSet) -> bool:
        """Return whether a digest or changes may tell of something newer.

        Those of an earlier era don't.  Of an unknown era, they are taken for the
        current one, unless there has been a restore: a router of an earlier release
        keeps the revisions of before.
        """
        if not other.era:
            return other.kind not in self._restored
        return other.era >= self.get_era(other.kind)

    def find_revision_to_pull(self, peer: ConfigurationDigest) -> int:
        """Return the revision since which to request changes from a peer.

        0 requests a snapshot, with which a newer era begins.
        """
        is_newer_era = peer.era > self.get_era(peer.kind)
        return 0 if is_newer_era else self.get_complete(peer.kind)

    def digest(self, kind: str) -> ConfigurationDigest:
        """Return the digest that peers compare with their own."""
        return ConfigurationDigest(
            kind,
            self.get_complete(kind),
            self._newest.get(kind, 0),
            self._content.get(kind, 0),
            self.get_era(kind),
        )

    def changes_since(self, kind: str, revision: int) -> ChangeSet:
        """Return what a peer lacks if its `complete` revision is `revision`."""
        held = self._held.get(kind, {}).values()
        is_snapshot = revision < self._history_from.get(kind, 0) or revision == 0
        lacking = (
            item
            for item in held
            if is_snapshot or self._find_newest_revision(item) > revision
        )
        ordered = tuple(sorted(lacking, key=lambda item: item.version))
        complete, era = self.get_complete(kind), self.get_era(kind)
        return ChangeSet(kind, ordered, complete, is_snapshot, era)

    def apply_version(
        self, kind: str, name: str, version: int, value: dict[str, Any] | None
    ) -> bool:
        """Store one version of an object if it is newer than the one held.

        Parameters
        ----------
        kind, name : str
            The object.
        version : int
            Global revision of the write; of a deletion, a revision above that of the
            last version deleted and at or below that of the next creation.
        value : dict or None
            None for a deletion.

        Returns
        -------
        bool
            Whether the version was newer and is now stored.
        """
        held = self._held.setdefault(kind, {}).get(name)
        if held is not None and held.value is not None:
            newer = version > held.version
        else:
            # The tombstone may have been dropped, or may be of an earlier deletion.
            # A peer that was frozen would bring a deleted contract back here, and its
            # customer would be served again.
            newer = version > self.get_complete(kind)
            if held is not None:
                is_created = value is not None and version == held.version
                newer = newer and (version > held.version or is_created)
        if newer:
            self._store_version(ObjectVersion(kind, name, version, value), held)
        return newer

    def apply_changes(self, changes: ChangeSet) -> list[ObjectVersion]:
        """Apply a list read from the platform, or changes sent by it or a peer.

        Parameters
        ----------
        changes : Changes
            If `is_snapshot`, objects that it lacks count as deleted by its `complete`
            revision.  Otherwise it must hold every change between this store's
            `complete` revision and its own.  Changes of an earlier era are ignored, and
            those of a later one unless they are a snapshot.

        Returns
        -------
        list of ObjectVersion
            The versions that were newer, deletions included.  At the start of an era,
            those that differ from what was held before.
        """
        if not self.is_comparable(changes):
            return []
        if changes.era > self.get_era(changes.kind):
            return self._start_era(changes) if changes.is_snapshot else []
        applied = [item for item in changes.objects if self.apply_version(*item)]
        if changes.is_snapshot:
            applied += self._delete_missing(changes)
            # A list does not show objects that were created and deleted since this
            # store's last update.  A peer that still holds one would keep it for good
            # if it were sent changes from before the list.
            self._drop_history(changes.kind, changes.complete)
        complete = max(self.get_complete(changes.kind), changes.complete)
        for item in applied:
            self._bound_deletion(item, complete)
        self._advance(changes.kind, complete)
        return applied

    def _start_era(self, changes: ChangeSet) -> list[ObjectVersion]:
        kind = changes.kind
        previous = self._held.pop(kind, {})
        if self.get_era(kind):
            self._restored.add(kind)
        for known in (self._complete, self._content, self._newest, self._history_from):
            known.pop(kind, None)
        self._deleted_by.pop(kind, None)
        self._eras[kind] = changes.era
        self._listed[kind] = changes.complete
        self.apply_changes(changes)
        names = previous.keys() | self._held.get(kind, {}).keys()
        return [
            item
            for name in sorted(names)
            if (item := self._find_difference(kind, name, previous.get(name)))
        ]

    def _find_difference(
        self, kind: str, name: str, previous: ObjectVersion | None
    ) -> ObjectVersion | None:
        held = self.get(kind, name)
        value = None if held is None else held.value
        if value == (None if previous is None else previous.value):
            return None
        return held or ObjectVersion(kind, name, self.get_complete(kind), None)

    def adopt_complete_revision(self, peer: ConfigurationDigest) -> None:
        """Advance to the `complete` revision of a peer that holds the same objects.

        A router that queries the platform only after a change would otherwise ask for
        changes since a revision whose history is gone, and have to read the full list.
        """
        own_era = self.get_era(peer.kind)
        is_same_era = peer.era == own_era or not (peer.era and own_era)
        if is_same_era and peer.content == self._content.get(peer.kind, 0):
            self._eras[peer.kind] = own_era or peer.era
            self._advance(peer.kind, peer.complete)

    def advance_if_unchanged(
        self, kind: str, kinds: Iterable[str], revision: int
    ) -> bool:
        """Advance a kind to a revision if all changes since are of other kinds.

        The platform numbers the changes of all kinds together.  If each number since
        the `complete` revision of `kind` is that of a known object of another kind,
        then no object of this one has changed, and the platform needs no query.

        Parameters
        ----------
        kind : str
            Kind of objects.
        kinds : iterable of str
            All kinds that are held.
        revision : int
            Revision of the platform at some time.

        Returns
        -------
        bool
            Whether this store holds all objects of `kind` as of `revision`.
        """
        complete = self.get_complete(kind)
        if not complete or revision < complete:
            return False
        if len({self.get_era(other) for other in (kind, *kinds)}) > 1:
            return False
        known = sum(
            complete < item.version <= revision
            for other in kinds
            if other != kind and revision > complete
            for item in self._held.get(other, {}).values()
            # The number of a deletion is not known exactly.
            if item.value is not None
        )
        if known != revision - complete:
            return False
        self._advance(kind, revision)
        return True

    def _delete_missing(self, changes: ChangeSet) -> list[ObjectVersion]:
        listed = {item.name for item in changes.objects if item.value is not None}
        gone = [
            ObjectVersion(changes.kind, item.name, changes.complete, None)
            for item in self.items(changes.kind)
            if item.name not in listed and item.version < changes.complete
        ]
        return [item for item in gone if self.apply_version(*item)]

    def _advance(self, kind: str, revision: int) -> None:
        self._complete[kind] = max(self.get_complete(kind), revision)
        self._prune(kind)

    def _prune(self, kind: str) -> None:
        held = self._held.get(kind, {})
        complete = self.get_complete(kind)
        tombstones = sorted(
            (self._find_newest_revision(item), item.name)
            for item in held.values()
            if item.value is None and item.version <= complete
        )
        for revision, name in tombstones[: max(0, len(tombstones) - TOMBSTONES_MAX)]:
            del held[name]
            del self._deleted_by[kind][name]
            self._drop_history(kind, revision)

    def _drop_history(self, kind: str, revision: int) -> None:
        known = self._history_from.get(kind, 0)
        self._history_from[kind] = max(known, revision)

    def _store_version(
        self, item: ObjectVersion, replaced: ObjectVersion | None
    ) -> None:
        content = self._content.get(item.kind, 0)
        content += _hash_items([item]) - _hash_items([replaced] if replaced else [])
        self._content[item.kind] = content % _HASH_MODULUS
        self._held[item.kind][item.name] = item
        self._deleted_by.setdefault(item.kind, {}).pop(item.name, None)
        self._bound_deletion(item, self.get_complete(item.kind))
        newest = self._newest.get(item.kind, 0)
        self._newest[item.kind] = max(newest, item.version)

    def _bound_deletion(self, item: ObjectVersion, complete: int) -> None:
        """Record a revision by which a deletion that is stored had happened."""
        if item.value is None and self._held[item.kind].get(item.name) == item:
            self._deleted_by[item.kind][item.name] = max(item.version, complete)

    def _find_newest_revision(self, item: ObjectVersion) -> int:
        """Return the revision of a write, or one at or above that of a deletion."""
        if item.value is not None:
            return item.version
        return self._deleted_by[item.kind][item.name]


def needs_changes(own: ConfigurationDigest, peer: ConfigurationDigest) -> bool:
    """Return whether a router should request changes from this peer.

    Only the side that may lack something does.  Where the digests leave that open both
    do, which costs one message and resolves the difference.
    """
    if own.era and peer.era and own.era != peer.era:
        return own.era < peer.era
    if own.content == peer.content:
        return False
    behind = peer.complete >= own.complete or peer.newest > own.newest
    return behind and peer.newest > 0


def _hash_items(items: Iterable[ObjectVersion]) -> int:
    """Return a sum of hashes, so that a change costs one hash, not a full rehash."""
    total = 0
    for item in items:
        if item.value is not None:
            key = f"{item.kind}\0{item.name}\0{item.version}".encode()
            total += int.from_bytes(hashlib.blake2b(key, digest_size=8).digest())
    return total
