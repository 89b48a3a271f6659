"""The view that one router holds of all routers, and what it still has to pass on.

Load pattern: a few changes an hour on an ordinary day, a hundred at once when an
availability zone is cut or comes back.  Each change is passed on a bounded number of
times, newest first, so that a burst delays news and never multiplies messages.
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
# A router that lacks five records of 370 is sent about fifteen.
BUCKET_COUNT = 128
# Sends of one change by each router, as a multiple of log2 of their number.  Whoever
# is left out compares views and asks, so that more would only cost bytes.
RETRANSMIT_FACTOR = 1.5
# Sends saved for each time that a change is heard from others who know it.
DUPLICATE_SENDS_SAVED = 2


class View:
    """Records of all routers but the one that holds the view.

    Parameters
    ----------
    own : MemberRecord
        The record of this router; `set_own` replaces it.
    """

    def __init__(self, own: MemberRecord) -> None:
        self.own = own
        self.records: dict[str, MemberRecord] = {}
        self.changed_s: dict[str, float] = {}
        self.content = 0
        self._sends_left: dict[str, int] = {}
        self._short: set[str] = set()
        self._buckets = bytearray(BUCKET_COUNT)
        self._count(None, own)

    @property
    def known(self) -> int:
        """Number of routers that are not gone, this one included."""
        return 1 + sum(
            record.state not in GONE_STATES for record in self.records.values()
        )

    def get(self, name: str) -> MemberRecord | None:
        """Return the record of a router, or None if it is unknown."""
        return self.own if name == self.own.name else self.records.get(name)

    def set_own(self, record: MemberRecord) -> None:
        """Replace this router's own record and pass it on."""
        self._count(self.own, record)
        self.own = record
        self._pass_on(record.name)

    def apply(self, record: MemberRecord, now_s: float, is_news: bool = True) -> bool:
        """Take a record of another router if it is newer than the one held.

        Parameters
        ----------
        record : MemberRecord
            The record; taken without addresses only of a router that is known.
        now_s : float
            Present time.
        is_news : bool, default=True
            Whether to pass it on.  A router that joins learns hundreds of records
            that all others have; it would pass them on for a minute.

        Returns
        -------
        bool
            Whether it was newer.
        """
        held = self.records.get(record.name)
        if held is None and (record.state in GONE_STATES or not record.peer_address):
            return False
        if held is not None:
            if not record.replaces(held):
                self._lose_interest(record, held)
                return False
            if not record.peer_address:
                record = held._replace(
                    incarnation=record.incarnation, state=record.state
                )
        same_place = held is not None and record[3:] == held[3:]
        (self._short.add if same_place else self._short.discard)(record.name)
        self._count(held, record)
        self.records[record.name] = record
        self.changed_s[record.name] = now_s
        if is_news:
            self._pass_on(record.name)
        else:
            self._sends_left.pop(record.name, None)
        return True

    def suspect(self, name: str, now_s: float) -> bool:
        """Hold a router that does not answer for suspect."""
        held = self.records.get(name)
        if held is None or held.state not in SUSPECT_STATES:
            return False
        return self.apply(held._replace(state=SUSPECT_STATES[held.state]), now_s)

    def list_suspects(self) -> list[MemberRecord]:
        """Return the routers held for suspect."""
        return [r for r in self.records.values() if r.state in SUSPECT_STATES.values()]

    def forget(self, name: str) -> None:
        """Drop the record of a router that is gone."""
        self._count(self.records.pop(name, None), None)
        self.changed_s.pop(name, None)
        self._sends_left.pop(name, None)
        self._short.discard(name)

    def take_rumours(self, limit_bytes: int) -> list[MemberRecord]:
        """Return changes to pass on that fit, newest first, and count the sends."""
        chosen = []
        for name in sorted(self._sends_left, key=self._sends_left.__getitem__)[::-1]:
            record = self._shorten(name)
            weight = estimate_record_bytes(record)
            if weight > limit_bytes:
                break
            limit_bytes -= weight
            chosen.append(record)
            self._sends_left[name] -= 1
            if self._sends_left[name] <= 0:
                del self._sends_left[name]
        return chosen

    def list_buckets(self) -> bytes:
        """Return one byte of hash for each of the groups that names fall into."""
        return bytes(self._buckets)

    def list_differing(
        self, buckets: bytes, after: str, limit_bytes: int
    ) -> tuple[list[MemberRecord], str]:
        """Return records that a router may lack, as far as they fit.

        Parameters
        ----------
        buckets : bytes
            Its own `list_buckets`.
        after : str
            Name after which to begin.
        limit_bytes : int
            Room in the message.

        Returns
        -------
        records : list of MemberRecord
        after : str
            Where to go on; empty at the end.
        """
        differing = {i for i, byte in enumerate(self._buckets) if buckets[i] != byte}
        chosen: list[MemberRecord] = []
        for record in sorted(self.records.values()):
            # Two views that differ may by chance have the same bytes.
            skipped = differing and _find_bucket(record.name) not in differing
            # That a router has left is its own word and goes on; that it is dead is a
            # guess of this side, and would remove it on the other side of a cut.
            if record.name <= after or record.state == MemberState.DEAD or skipped:
                continue
            limit_bytes -= estimate_record_bytes(record)
            if limit_bytes < 0:
                return chosen, chosen[-1].name if chosen else after
            chosen.append(record)
        return chosen, ""

    def _shorten(self, name: str) -> MemberRecord:
        """Leave out the addresses where only the state is news.

        Two in three bytes are addresses, and a healed cut brings hundreds of news of
        routers that all know.  Whoever doesn't know the router asks for the rest.
        """
        record = self.records.get(name, self.own)
        if name not in self._short:
            return record
        return MemberRecord(record.name, record.incarnation, record.state)

    def _pass_on(self, name: str) -> None:
        routers = len(self.records) + 1
        self._sends_left[name] = math.ceil(RETRANSMIT_FACTOR * math.log2(routers + 1))

    def _lose_interest(self, heard: MemberRecord, held: MemberRecord) -> None:
        """Pass on less often what others already know."""
        left = self._sends_left.get(held.name)
        if left is None or heard[:3] != held[:3]:
            return
        if left > DUPLICATE_SENDS_SAVED:
            self._sends_left[held.name] = left - DUPLICATE_SENDS_SAVED
        else:
            del self._sends_left[held.name]

    def _count(self, before: MemberRecord | None, after: MemberRecord | None) -> None:
        for record, sign in ((before, -1), (after, 1)):
            if record is not None and record.state not in GONE_STATES:
                value = sign * hash_record(record)
                self.content = (self.content + value) % _HASH_MODULUS
                bucket = _find_bucket(record.name)
                self._buckets[bucket] = (self._buckets[bucket] + value) % 256


def _find_bucket(name: str) -> int:
    return zlib.crc32(name.encode()) % BUCKET_COUNT


def rotate(records: list[MemberRecord], start: int, count: int) -> list[MemberRecord]:
    """Return `count` records from `start` on, beginning anew after the last."""
    begin = start % len(records) if records else 0
    return [*records[begin:], *records[:begin]][:count]
