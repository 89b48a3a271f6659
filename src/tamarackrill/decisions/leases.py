"""A lease on a platform object, with a fencing number that grows with each holder.

Load pattern: one router at a time sends the orders of one kind to engines, and any
router may fail, or freeze and resume, at any moment. Without a lease two routers would
send orders at once, and an engine would alternately load and unload models. Without the
checks here a router that froze would keep sending orders after its successor took over.

No clock is compared between VMs. A holder measures from the moment before it sent its
renewal; a candidate measures from the moment it first saw a version. Both use their own
monotonic clock, so a holder's lease ends before any candidate considers it expired.

Some engines reject an order with an outdated fencing number; others ignore the number.
For the latter, the holder checks its lease right before each order (`may_order`), and a
candidate waits for the lease plus the longest order delivery (`LeaseTiming`).

A new holder's fencing number is above the newest one that it knows and above the
version of the object.  Each change of the number takes a write, and each write raises
the version, so that no earlier number is above it, also if the record can't be read or
was deleted.
"""

from typing import Any, NamedTuple

# Fraction of the lease after which the holder renews it, so that two renewals may be
# lost.
RENEWAL_FRACTION = 1 / 3


class LeaseTiming(NamedTuple):
    """Durations that must be the same on all routers.

    Parameters
    ----------
    lease_s : float
        How long a holder may send orders after it sent a renewal that was accepted.
        With 10 s, one holder costs the platform 0.3 writes per second.
    order_delivery_max_s : float
        Longest time from the lease check before an order to its arrival at the engine.
    """

    lease_s: float = 10.0
    order_delivery_max_s: float = 5.0


# Readers of JSON keep numbers below this one exactly.
NUMBER_MAX = 1 << 53


class LeaseRecord(NamedTuple):
    """Value of the lease object.

    Parameters
    ----------
    holder : str
        Identity of one start of one router; a restarted router is a new holder.
    fence : int
        Fencing number; incremented with each change of holder.
    renewal : int
        Incremented with each renewal, so that no two writes are the same.
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
    """One router's view of one lease.

    Parameters
    ----------
    identity : str
        Unique for each start of a router.
    timing : LeaseTiming
        Lease durations.
    """

    def __init__(self, identity: str, timing: LeaseTiming) -> None:
        self._identity = identity
        self._timing = timing
        self._record: LeaseRecord | None = None
        self._version: int | None = None
        self._first_seen_s = 0.0
        self._valid_until_s = float("-inf")
        self._is_known = False
        self._last_poll_s = float("-inf")
        self._newest_fence = 0

    @property
    def holder(self) -> str:
        """Identity of the last known holder; empty if there was none."""
        return self._record.holder if self._record else ""

    @property
    def fence(self) -> int:
        """Fencing number of the last known holder."""
        return self._record.fence if self._record else 0

    def may_order(self, now_s: float) -> bool:
        """Return whether an order may be sent now; call right before each order."""
        return self._is_holder() and now_s < self._valid_until_s

    def next_action(self, now_s: float) -> Action | None:
        """Return the action that acquires or keeps the lease now, if any.

        Parameters
        ----------
        now_s : float
            Current time on this router's monotonic clock.

        Returns
        -------
        Action or None
        """
        if not self._is_known:
            return ReadLease()
        if self._is_holder():
            return self._renew(now_s)
        if self._record is not None and now_s < self._takeover_from_s():
            return self._poll(now_s)
        return WriteLease(self._make_first_record(), self._version)

    def _make_first_record(self) -> LeaseRecord:
        fence = max(self._newest_fence, self._version or 0) + 1
        return LeaseRecord(self._identity, fence, 0)

    def _poll(self, now_s: float) -> Action | None:
        # A candidate that did not poll would miss the holder's renewals, wait for the
        # full lease and only then get a version conflict.
        if now_s - self._last_poll_s < self._timing.lease_s * RENEWAL_FRACTION:
            return None
        self._last_poll_s = now_s
        return ReadLease()

    def _renew(self, now_s: float) -> Action | None:
        assert self._record is not None
        renewed_s = self._valid_until_s - self._timing.lease_s
        if now_s < renewed_s + self._timing.lease_s * RENEWAL_FRACTION:
            return None
        if now_s >= self._valid_until_s:
            # The lease expired. A successor may already hold it or may be writing now;
            # only a conditional write with a new fencing number is safe.
            record = self._make_first_record()
        else:
            record = self._record._replace(renewal=self._record.renewal + 1)
        return WriteLease(record, self._version)

    def handle_read(
        self, record: LeaseRecord | None, version: int | None, now_s: float
    ) -> None:
        """Process the result of a read; both are None if there is no object."""
        self._is_known = True
        self._observe(record, version, now_s)

    def handle_write(
        self, action: WriteLease, version: int | None, sent_s: float, now_s: float
    ) -> None:
        """Process the result of a write.

        Parameters
        ----------
        action : WriteLease
            The write that was performed.
        version : int or None
            Version written, or None if the condition did not hold.
        sent_s : float
            Time before the write was sent.
        now_s : float
            Current time.
        """
        if version is None:
            self._is_known = False
            return
        self._observe(action.record, version, now_s)
        # The lease starts before the write was sent: the platform may have applied it
        # immediately, and a candidate may have seen it then.
        self._valid_until_s = sent_s + self._timing.lease_s
        if action.expected_version is None:
            # The version was not known; the next write takes a number above it.
            self._valid_until_s = float("-inf")

    def handle_lost_write(self) -> None:
        """Process a write that got no response: the next read shows its outcome."""
        self._is_known = False

    def _observe(
        self, record: LeaseRecord | None, version: int | None, now_s: float
    ) -> None:
        if version != self._version or self._record is None:
            self._first_seen_s = now_s
        if record is not None:
            self._newest_fence = max(self._newest_fence, record.fence)
        self._record = record
        self._version = version

    def _is_holder(self) -> bool:
        return self._record is not None and self._record.holder == self._identity

    def _takeover_from_s(self) -> float:
        timing = self._timing
        return self._first_seen_s + timing.lease_s + timing.order_delivery_max_s


def read_lease_record(value: Any) -> LeaseRecord:
    """Return the lease record stored in an object's value.

    Raises
    ------
    ValueError
        If the value isn't one.
    """
    if not isinstance(value, dict) or not value.keys() >= set(LeaseRecord._fields):
        raise ValueError("not the record of a lease")
    record = LeaseRecord(value["holder"], value["fence"], value["renewal"])
    is_counted = all(
        type(number) is int and 0 <= number < NUMBER_MAX
        for number in (record.fence, record.renewal)
    )
    if not isinstance(record.holder, str) or not is_counted:
        raise ValueError("the record of a lease has odd values")
    return record
