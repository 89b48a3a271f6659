"""Enforces contract limits and exchanges usage with the other routers."""

import asyncio
import time
from collections.abc import Callable

from tamarackrill.contracts import Contract
from tamarackrill.decisions.limits import FleetLimits, LimitDecision
from tamarackrill.decisions.usage import RouterLocation, UsageDigest, UsageExchange
from tamarackrill.events import TEAM_LIMITED, log_event
from tamarackrill.exceptions import Refusal
from tamarackrill.protocol.usage_codec import (
    UsageMessage,
    decode_usage,
    encode_usage,
)
from tamarackrill.router.calls import Call
from tamarackrill.router.members import Members
from tamarackrill.router.replies import Reply

EXCHANGE_INTERVAL_S = 0.5
# Send rate; about as much is received.  Together they use half of the 3 KB/s budget
# for control traffic.
USAGE_BYTES_PER_S = 700.0
# One line per refused request would flood the log during a surge of a team.
LOG_INTERVAL_S = 10.0
STATUS_TOO_MANY = 429
_REFUSAL_MESSAGES = {
    "rate": "the team sends more requests than its contract allows",
    "tokens": "the team asks for more tokens than its contract allows",
    "in_flight": "the team has more requests in flight than its contract allows",
}


class Limiter:
    """Enforces the limits of all teams at this router.

    Parameters
    ----------
    members : Members
        Live routers, including this one.
    find_contract : callable
        Returns the contract of a team, or None.
    send : callable
        Sends a datagram to a peer address; lost usage is sent again.
    peer_keys : tuple of str
        Keys of the routers: the first signs, all of them verify.
    clock : callable
        Returns the current time.
    """

    def __init__(
        self,
        members: Members,
        find_contract: Callable[[str], Contract | None],
        send: Callable[[str, bytes], None],
        peer_keys: tuple[str, ...],
        clock: Callable[[], float],
    ) -> None:
        own = members.own
        self._members = members
        self._send = send
        self._peer_keys = peer_keys
        self._sequence = 0
        self._last_sequences: dict[str, int] = {}
        self._clock = clock
        self._limits = FleetLimits(own.name)
        self._exchange = UsageExchange(own.name, own.zone, find_contract)
        self._last_logged_s: dict[tuple[str, str], float] = {}

    async def run(self) -> None:
        """Exchange usage periodically, until cancelled."""
        while True:
            self.exchange(self._clock())
            await asyncio.sleep(EXCHANGE_INTERVAL_S)

    def exchange(self, now_s: float) -> None:
        """Send usage digests that are due, and apply received ones."""
        live = [*self._members.list_live(), self._members.own]
        locations = {RouterLocation(member.name, member.zone) for member in live}
        self._exchange.set_routers(sorted(locations), now_s)
        usages = self._limits.list_usage(now_s)
        for digest in self._exchange.collect(usages, now_s, USAGE_BYTES_PER_S):
            self._send_digest(digest)
        for other_usage in self._exchange.drain_updates():
            self._limits.observe_others(other_usage, now_s)

    def describe(self) -> dict[str, dict[str, float]]:
        """Return the fleet-wide usage by team, for the status page."""
        return {
            total.team: {
                "requests_per_s": round(total.requests_per_s, 2),
                "tokens_per_s": round(total.tokens_per_s, 1),
                "in_flight": total.in_flight,
            }
            for total in self._limits.list_fleet_usage(self._clock())
        }

    def handle_datagram(self, datagram: bytes, source: str) -> bool:
        """Handle a datagram; return whether it was a usage message."""
        message = decode_usage(datagram, self._peer_keys)
        if message is None:
            return False
        # Ignores old datagrams: a replayed one would restore usage that has ended, and
        # the team would be refused below its limit.
        if message.sequence > self._last_sequences.get(message.sender, 0):
            self._last_sequences[message.sender] = message.sequence
            self._exchange.observe(message.sender, message.usages, self._clock())
        return True

    def _send_digest(self, digest: UsageDigest) -> None:
        addresses = {m.name: m.peer_address for m in self._members.list_all()}
        # The wall clock keeps the sequence increasing across restarts of the VM.
        self._sequence = max(self._sequence + 1, time.time_ns())
        message = UsageMessage(self._members.own.name, self._sequence, digest.entries)
        datagram = encode_usage(message, self._peer_keys)
        self._send(addresses.get(digest.peer, ""), datagram)

    def begin(self, call: Call, now_s: float) -> None:
        """Count a new call; the caller must call `end` unless the call is refused.

        Raises
        ------
        Refusal
            If the call exceeds a limit of its contract.
        """
        decision = self._limits.admit(call.contract, call.size_tokens, now_s)
        if not decision.admitted:
            self._log_refusal(call.team, decision, now_s)
            raise Refusal(
                f"{decision.limit}_limited",
                STATUS_TOO_MANY,
                _REFUSAL_MESSAGES[decision.limit],
                retry_after_s=decision.retry_after_s,
            )

    def end(self, call: Call, reply: Reply, now_s: float) -> None:
        """Count a call as ended, with the actual length of its response."""
        if not reply.started:
            actual_tokens = 0
        else:
            # Only a stream shows its length: each event carries about one token.
            actual_tokens = reply.count if call.stream else call.size_tokens
        self._limits.finish(call.team, actual_tokens - call.size_tokens, now_s)

    def _log_refusal(self, team: str, decision: LimitDecision, now_s: float) -> None:
        key = team, decision.limit
        if now_s - self._last_logged_s.get(key, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return
        self._last_logged_s[key] = now_s
        total = self._limits.get_fleet_usage(team, now_s)
        assert total is not None
        log_event(
            TEAM_LIMITED,
            team=team,
            limit=decision.limit,
            fleet_requests_per_s=total.requests_per_s,
            fleet_tokens_per_s=total.tokens_per_s,
            fleet_in_flight=total.in_flight,
        )
