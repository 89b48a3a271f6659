"""One router's view of the fleet, and the changes that it still has to gossip.

Load pattern: a few changes an hour on an ordinary day, a hundred at once when an
availability zone is cut off or comes back.  Each change is sent a bounded number of
times, newest first, so that a burst delays changes but never multiplies messages.
"""

import math
import zlib

from tamarackrill.decisions.members import (
    GONE_STATES,
    SUSPECT_STATES,
    MemberRecord,
    MemberState,
    estimate_record_bytes,
    hash_record,
)

_HASH_MODULUS = 1 << 64
# With this many, a router that lacks 5 of 370 records is sent about 15.
BUCKET_COUNT = 128
# Sends of one change by each router, as a multiple of log2 of the fleet size.  Routers
# that miss a change find it by comparing views, so a higher factor only costs bytes.
RETRANSMIT_FACTOR = 1.5
# Sends saved for each time that a change is received from a router that knows it.
DUPLICATE_SENDS_SAVED = 2


class View:
    """Records of all routers, with this router's own kept apart.

    Parameters
    ----------
    own : MemberRecord
        The record of this router; `set_own` replaces it.
    """

    def __init__(self, own: MemberRecord) -> None:
        self.own = own
        self.records: dict[str, MemberRecord] = {}
        self.changed_s: dict[str, float] = {}
        self.content_hash = 0
        self._sends_left: dict[str, int] = {}
        self._state_only: set[str] = set()
        self._buckets = bytearray(BUCKET_COUNT)
        self._update_hashes(None, own)

    @property
    def known(self) -> int:
        """Number of routers that have neither failed nor left, this one included."""
        return 1 + sum(
            record.state not in GONE_STATES for record in self.records.values()
        )

    def get(self, name: str) -> MemberRecord | None:
        """Return the record of a router, or None if it is unknown."""
        return self.own if name == self.own.name else self.records.get(name)

    def set_own(self, record: MemberRecord) -> None:
        """Replace this router's own record and queue it for gossip."""
        self._update_hashes(self.own, record)
        self.own = record
        self._queue(record.name)

    def apply(self, record: MemberRecord, now_s: float, is_news: bool = True) -> bool:
        """Store a record of another router if it is newer than the one held.

        Parameters
        ----------
        record : MemberRecord
            The record; one without addresses is stored only if the router is known.
        now_s : float
            Current time.
        is_news : bool, default=True
            Whether to gossip it.  A router that joins receives hundreds of records
            that all others have, and would otherwise gossip them for a minute.

        Returns
        -------
        bool
            Whether the record was newer.
        """
        held = self.records.get(record.name)
        if held is None and (record.state in GONE_STATES or not record.peer_address):
            return False
        if held is not None:
            if not record.replaces(held):
                self._reduce_sends(record, held)
                return False
            if not record.peer_address:
                record = held._replace(
                    incarnation=record.incarnation, state=record.state
                )
        same_addresses = held is not None and record[3:] == held[3:]
        (self._state_only.add if same_addresses else self._state_only.discard)(
            record.name
        )
        self._update_hashes(held, record)
        self.records[record.name] = record
        self.changed_s[record.name] = now_s
        if is_news:
            self._queue(record.name)
        else:
            self._sends_left.pop(record.name, None)
        return True

    def suspect(self, name: str, now_s: float) -> bool:
        """Mark a router that does not answer as suspect."""
        held = self.records.get(name)
        if held is None or held.state not in SUSPECT_STATES:
            return False
        return self.apply(held._replace(state=SUSPECT_STATES[held.state]), now_s)

    def list_suspects(self) -> list[MemberRecord]:
        """Return the routers that are suspected."""
        return [r for r in self.records.values() if r.state in SUSPECT_STATES.values()]

    def forget(self, name: str) -> None:
        """Drop the record of a router that has failed or left."""
        self._update_hashes(self.records.pop(name, None), None)
        self.changed_s.pop(name, None)
        self._sends_left.pop(name, None)
        self._state_only.discard(name)

    def take_changes_to_send(self, limit_bytes: int) -> list[MemberRecord]:
        """Return queued changes that fit, newest first, and count the sends."""
        chosen = []
        for name in sorted(self._sends_left, key=self._sends_left.__getitem__)[::-1]:
            record = self._omit_known_addresses(name)
            size_bytes = estimate_record_bytes(record)
            if size_bytes > limit_bytes:
                break
            limit_bytes -= size_bytes
            chosen.append(record)
            self._sends_left[name] -= 1
            if self._sends_left[name] <= 0:
                del self._sends_left[name]
        return chosen

    def list_buckets(self) -> bytes:
        """Return one hash byte for each bucket of names."""
        return bytes(self._buckets)

    def list_differing(
        self, buckets: bytes, after: str, limit_bytes: int
    ) -> tuple[list[MemberRecord], str]:
        """Return a page of the records that a peer may lack.

        Parameters
        ----------
        buckets : bytes
            The peer's `list_buckets`.
        after : str
            Cursor: name after which to begin.
        limit_bytes : int
            Space left in the message.

        Returns
        -------
        records : list of MemberRecord
        after : str
            Cursor of the next page; empty at the end.
        """
        differing = {i for i, byte in enumerate(self._buckets) if buckets[i] != byte}
        chosen: list[MemberRecord] = []
        for record in sorted(self.records.values()):
            # Two different views may have the same hash bytes by chance.
            skipped = differing and _find_bucket(record.name) not in differing
            # LEFT was announced by the router itself and is sent.  DEAD is only this
            # side's conclusion, and would remove it on the other side of a partition.
            if record.name <= after or record.state == MemberState.DEAD or skipped:
                continue
            limit_bytes -= estimate_record_bytes(record)
            if limit_bytes < 0:
                return chosen, chosen[-1].name if chosen else after
            chosen.append(record)
        return chosen, ""

    def _omit_known_addresses(self, name: str) -> MemberRecord:
        """Leave out the addresses where only the state has changed.

        Two thirds of the bytes are addresses, and a healed partition brings hundreds
        of changes of routers that all know.  A peer that does not know the router
        requests the full record.
        """
        record = self.records.get(name, self.own)
        if name not in self._state_only:
            return record
        return MemberRecord(record.name, record.incarnation, record.state)

    def _queue(self, name: str) -> None:
        routers = len(self.records) + 1
        self._sends_left[name] = math.ceil(RETRANSMIT_FACTOR * math.log2(routers + 1))

    def _reduce_sends(self, received: MemberRecord, held: MemberRecord) -> None:
        """Send a change less often when others already know it."""
        left = self._sends_left.get(held.name)
        if left is None or received[:3] != held[:3]:
            return
        if left > DUPLICATE_SENDS_SAVED:
            self._sends_left[held.name] = left - DUPLICATE_SENDS_SAVED
        else:
            del self._sends_left[held.name]

    def _update_hashes(
        self, before: MemberRecord | None, after: MemberRecord | None
    ) -> None:
        for record, sign in ((before, -1), (after, 1)):
            if record is not None and record.state not in GONE_STATES:
                value = sign * hash_record(record)
                self.content_hash = (self.content_hash + value) % _HASH_MODULUS
                bucket = _find_bucket(record.name)
                self._buckets[bucket] = (self._buckets[bucket] + value) % 256


def _find_bucket(name: str) -> int:
    return zlib.crc32(name.encode()) % BUCKET_COUNT


def rotate(records: list[MemberRecord], start: int, count: int) -> list[MemberRecord]:
    """Return `count` records from `start` on, wrapping around at the end."""
    begin = start % len(records) if records else 0
    return [*records[begin:], *records[:begin]][:count]
