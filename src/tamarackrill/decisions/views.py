"""The view that one router holds of all routers, and what it still has to pass on.

Load pattern: a few changes an hour on an ordinary day, a hundred at once when an
availability zone is cut or comes back.  Each change is passed on a bounded number of
times, newest first, so that a burst delays news and never multiplies messages.
"""

import math

from tamarackrill.decisions.members import (
    GONE,
    SUSPECTED,
    MemberRecord,
    MemberState,
    hash_record,
    weigh_record,
)

_HASH_MODULUS = 1 << 64
# Sends of one change by each router, as a multiple of log2 of their number.  By
# rumour alone (bench/gossip.py) 2 leave some routers out now and then, and 3 none in
# the runs measured; whoever is left out compares views and asks.
SENDS_FACTOR = 3


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
        self._count(None, own)

    @property
    def known(self) -> int:
        """Number of routers that are not gone, this one included."""
        return 1 + sum(record.state not in GONE for record in self.records.values())

    def get(self, name: str) -> MemberRecord | None:
        """Return the record of a router, or None if it is unknown."""
        return self.own if name == self.own.name else self.records.get(name)

    def set_own(self, record: MemberRecord) -> None:
        """Replace this router's own record and pass it on."""
        self._count(self.own, record)
        self.own = record
        self._pass_on(record.name)

    def apply(self, record: MemberRecord, now_s: float) -> bool:
        """Take a record of another router if it is newer than the one held.

        Returns
        -------
        bool
            Whether it was newer.
        """
        held = self.records.get(record.name)
        if held is None and (record.state in GONE or not record.peer_address):
            return False
        if held is not None:
            if not record.replaces(held):
                return False
            if not record.peer_address:
                record = held._replace(
                    incarnation=record.incarnation, state=record.state
                )
        self._count(held, record)
        self.records[record.name] = record
        self.changed_s[record.name] = now_s
        self._pass_on(record.name)
        return True

    def suspect(self, name: str, now_s: float) -> bool:
        """Hold a router that does not answer for suspect."""
        held = self.records.get(name)
        if held is None or held.state not in SUSPECTED:
            return False
        return self.apply(held._replace(state=SUSPECTED[held.state]), now_s)

    def list_suspects(self) -> list[MemberRecord]:
        """Return the routers held for suspect."""
        return [r for r in self.records.values() if r.state in SUSPECTED.values()]

    def forget(self, name: str) -> None:
        """Drop the record of a router that is gone."""
        self._count(self.records.pop(name, None), None)
        self.changed_s.pop(name, None)
        self._sends_left.pop(name, None)

    def take_rumours(self, limit_bytes: int) -> tuple[list[MemberRecord], int]:
        """Return changes to pass on that fit, and the bytes left; count the sends."""
        chosen = []
        for name in sorted(self._sends_left, key=self._sends_left.__getitem__)[::-1]:
            record = self._shorten(name)
            weight = weigh_record(record)
            if weight > limit_bytes:
                break
            limit_bytes -= weight
            chosen.append(record)
            self._sends_left[name] -= 1
            if self._sends_left[name] <= 0:
                del self._sends_left[name]
        return chosen, limit_bytes

    def list_after(self, name: str, limit_bytes: int) -> tuple[list[MemberRecord], str]:
        """Return the records after a name that fit, and where to go on.

        Returns
        -------
        records : list of MemberRecord
        after : str
            Empty at the end of the view.
        """
        chosen: list[MemberRecord] = []
        listed = sorted(r for r in self.records.values() if r.state not in GONE)
        for record in listed:
            if record.name <= name:
                continue
            limit_bytes -= weigh_record(record)
            if limit_bytes < 0:
                return chosen, chosen[-1].name if chosen else name
            chosen.append(record)
        return chosen, ""

    def _shorten(self, name: str) -> MemberRecord:
        record = self.records.get(name, self.own)
        if record.state in (MemberState.ALIVE, MemberState.LEAVING):
            return record
        return MemberRecord(record.name, record.incarnation, record.state)

    def _pass_on(self, name: str) -> None:
        routers = len(self.records) + 1
        self._sends_left[name] = SENDS_FACTOR * math.ceil(math.log2(routers + 1))

    def _count(self, before: MemberRecord | None, after: MemberRecord | None) -> None:
        if before is not None and before.state not in GONE:
            self.content -= hash_record(before)
        if after is not None and after.state not in GONE:
            self.content += hash_record(after)
        self.content %= _HASH_MODULUS
