"""A lease on a platform object, with a fencing number that rises with each holder.

Load pattern: one router at a time gives the orders of one kind to engines, and any
router may fail, or freeze and wake up, at any moment.  Without a lease two routers
would order at once, and an engine would load and unload models in turn; without the
checks here a router that was frozen would go on ordering after its successor began.

No clock is compared between VMs.  A holder counts from the moment before it sent its
renewal; a candidate counts from the moment it first saw a version.  Both use their
own monotonic clock, so the holder's lease ends before any candidate thinks so.

Some engines refuse an order whose fencing number is old; others ignore it.  For
these the holder checks its lease right before each order (`may_order`) and a
candidate waits out the lease and the longest order on top of it (`LeaseTiming`).
"""

from typing import Any, NamedTuple

# A holder renews at this share of the lease, so that two renewals can be lost.
RENEWAL_SHARE = 1 / 3


class LeaseTiming(NamedTuple):
    """Durations that all routers must share.

    Parameters
    ----------
    lease_s : float
        How long a holder may order after it sent a renewal that was accepted.  With
        10 s, one holder costs the platform 0.3 writes a second.
    order_delivery_max_s : float
        Longest time from the check before an order to its arrival at the engine.
    """

    lease_s: float = 10.0
    order_delivery_max_s: float = 5.0


class LeaseRecord(NamedTuple):
    """Value of the lease object.

    Parameters
    ----------
    holder : str
        Identity of one start of one router; a restart is another holder.
    fence : int
        Fencing number; rises by one with each change of holder.
    renewal : int
        Rises with each renewal, so that no two writes are the same.
    """

    holder: str
    fence: int
    renewal: int


class ReadLease(NamedTuple):
    """Action: read the lease object."""


class WriteLease(NamedTuple):
    """Action: write the lease object if its version is still the expected one."""

    record: LeaseRecord
    expected_version: int | None


Action = ReadLease | WriteLease


class Lease:
    """What one router knows of one lease.

    Parameters
    ----------
    identity : str
        Unique for each start of a router.
    timing : LeaseTiming
        Durations.
    """

    def __init__(self, identity: str, timing: LeaseTiming) -> None:
        self._identity = identity
        self._timing = timing
        self._record: LeaseRecord | None = None
        self._version: int | None = None
        self._first_seen_s = 0.0
        self._valid_until_s = float("-inf")
        self._was_read = False
        self._asked_s = float("-inf")

    @property
    def holder(self) -> str:
        """Identity of the holder that was last seen; empty if there was none."""
        return self._record.holder if self._record else ""

    @property
    def fence(self) -> int:
        """Fencing number of the holder that was last seen."""
        return self._record.fence if self._record else 0

    def may_order(self, now_s: float) -> bool:
        """Return whether an order may be sent now; ask right before each order."""
        return self._is_own() and now_s < self._valid_until_s

    def next_action(self, now_s: float) -> Action | None:
        """Return what to do now to get or keep the lease.

        Parameters
        ----------
        now_s : float
            Present time, on this router's monotonic clock.

        Returns
        -------
        Action or None
        """
        if not self._was_read:
            return ReadLease()
        if self._is_own():
            return self._renew(now_s)
        if self._record is not None and now_s < self._free_from_s():
            return self._look_again(now_s)
        return WriteLease(LeaseRecord(self._identity, self.fence + 1, 0), self._version)

    def _look_again(self, now_s: float) -> Action | None:
        # A candidate that never read again would take every renewal for none, and
        # be told so by a conflict only after it waited in vain.
        if now_s - self._asked_s < self._timing.lease_s * RENEWAL_SHARE:
            return None
        self._asked_s = now_s
        return ReadLease()

    def _renew(self, now_s: float) -> Action | None:
        assert self._record is not None
        renewed_s = self._valid_until_s - self._timing.lease_s
        if now_s < renewed_s + self._timing.lease_s * RENEWAL_SHARE:
            return None
        if now_s >= self._valid_until_s:
            # It lapsed.  A successor may have been chosen, or may be writing now;
            # only a new fencing number, if the version still stands, is safe.
            record = LeaseRecord(self._identity, self.fence + 1, 0)
        else:
            record = self._record._replace(renewal=self._record.renewal + 1)
        return WriteLease(record, self._version)

    def handle_read(
        self, record: LeaseRecord | None, version: int | None, now_s: float
    ) -> None:
        """Take what a read gave; both are None if there is no object."""
        self._was_read = True
        self._see(record, version, now_s)

    def handle_write(
        self, action: WriteLease, version: int | None, sent_s: float, now_s: float
    ) -> None:
        """Take the outcome of a write.

        Parameters
        ----------
        action : WriteLease
            What was written.
        version : int or None
            Version written, or None if the condition did not hold.
        sent_s : float
            Present time before the write was sent.
        now_s : float
            Present time.
        """
        if version is None:
            self._was_read = False
            return
        self._see(action.record, version, now_s)
        # From before the write was sent: the platform may have taken it then, and a
        # candidate may have seen it at once.
        self._valid_until_s = sent_s + self._timing.lease_s

    def handle_lost_write(self) -> None:
        """Take that a write was not answered: only a read tells what stands."""
        self._was_read = False

    def _see(
        self, record: LeaseRecord | None, version: int | None, now_s: float
    ) -> None:
        if version != self._version or self._record is None:
            self._first_seen_s = now_s
        self._record = record
        self._version = version

    def _is_own(self) -> bool:
        return self._record is not None and self._record.holder == self._identity

    def _free_from_s(self) -> float:
        timing = self._timing
        return self._first_seen_s + timing.lease_s + timing.order_delivery_max_s


def read_lease_record(value: dict[str, Any]) -> LeaseRecord:
    """Return the record that an object's value holds."""
    return LeaseRecord(value["holder"], value["fence"], value["renewal"])
