"""Simulated gossip network of many routers in one process, for tests and benchmarks.

The membership states are the daemon's; only the network is simulated.  Messages arrive
at once, which is realistic as long as the network is much faster than a tick.  The
faults are lost messages, partitioned zones and frozen routers.
"""

from collections import deque
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from tamarackrill.contracts import Vm
from tamarackrill.decisions.members import Gossip, MemberRecord, MemberState
from tamarackrill.decisions.membership import (
    TICK_S,
    Action,
    MemberChanged,
    Membership,
    PeerStateReceived,
    Send,
)

SESSION_MS = 1_700_000_000_000
# Roughly the capacity of the socket receive buffer of a process that does not run.
HELD_MESSAGES_MAX = 200
# Bounds memory: each received peer state takes a few hundred bytes.
HEARD_STATES_MAX = 10_000


class Change(NamedTuple):
    """A change in one router's membership view."""

    time_s: float
    seen_by: str
    record: MemberRecord


class GossipNetwork:
    """Membership states of routers and the simulated network between them.

    Parameters
    ----------
    seed : int
        Seed of the message loss, tick order and peer selection.
    loss : float, default=0
        Fraction of messages that are lost.
    carry : callable, optional
        Converts each sent message into the one received, for example by encoding and
        decoding it.
    """

    def __init__(
        self,
        seed: int,
        loss: float = 0.0,
        carry: Callable[[Gossip], Gossip] = lambda message: message,
    ) -> None:
        self.now_s = 0.0
        self.states: dict[str, Membership] = {}
        self.frozen: set[str] = set()
        self.cut_zones: set[str] = set()
        self.changes: list[Change] = []
        self.heard: list[tuple[str, PeerStateReceived]] = []
        self.sent_bytes: dict[str, int] = {}
        self._random = Random(seed)
        self._loss = loss
        self._carry = carry
        self._queue: deque[tuple[str, Gossip]] = deque()
        self._held: dict[str, list[Gossip]] = {}

    def start(self, name: str, zone: str, session_ms: int = SESSION_MS) -> Membership:
        """Start a router whose addresses are its name."""
        own = MemberRecord(name, session_ms, MemberState.ALIVE, zone, name, name)
        self.states[name] = Membership(own)
        self.sent_bytes.setdefault(name, 0)
        return self.states[name]

    def start_many(self, count: int, zones: int) -> None:
        """Start routers that know all others from the VM list."""
        for index in range(count):
            self.start(f"vm-{index:04d}", f"zone-{index % zones}")
        self.publish_vms()

    def publish_vms(self) -> None:
        """Give every router the VM list of all running routers."""
        vms = [
            Vm(name, name, state.own.zone, peer_address=name)
            for name, state in self.states.items()
        ]
        for state in self.states.values():
            state.update_vm_list(vms)

    def freeze(self, name: str) -> None:
        """Stop a router from running; messages to it are buffered."""
        self.frozen.add(name)
        self._held[name] = []

    def wake(self, name: str) -> None:
        """Let a frozen router run again and receive its buffered messages."""
        self.frozen.discard(name)
        for message in self._held.pop(name):
            self._queue.append((name, message))

    def kill(self, name: str) -> None:
        """End a router without warning."""
        del self.states[name]

    def run(self, ticks: int) -> None:
        """Run ticks of all routers, each tick in a random order."""
        for _ in range(ticks):
            names = list(self.states)
            self._random.shuffle(names)
            for index, name in enumerate(names):
                now_s = self.now_s + TICK_S * index / len(names)
                if name not in self.frozen:
                    state = self.states[name]
                    self.act(name, state.tick(now_s, self.pick), now_s)
            del self.heard[:-HEARD_STATES_MAX]
            self.now_s += TICK_S

    def run_until(self, condition: Callable[[], bool], ticks_max: int) -> int:
        """Run until the condition holds; return the number of ticks taken."""
        for ticks in range(ticks_max):
            if condition():
                return ticks
            self.run(1)
        if not condition():
            raise AssertionError(f"condition not met within {ticks_max} ticks")
        return ticks_max

    def pick(self, count: int) -> int:
        """Return a random number below `count`."""
        return self._random.randrange(count)

    def act(self, name: str, actions: list[Action], now_s: float | None = None) -> None:
        """Execute a router's actions and deliver the messages that result."""
        time_s = self.now_s if now_s is None else now_s
        self._queue_sends(name, actions, time_s)
        while self._queue:
            to, message = self._queue.popleft()
            if to in self.frozen:
                if len(self._held[to]) < HELD_MESSAGES_MAX:
                    self._held[to].append(message)
            elif to in self.states:
                answers = self.states[to].receive(message, time_s)
                self._queue_sends(to, answers, time_s)

    def has_converged(self) -> bool:
        """Return whether all running routers share one view of just these routers."""
        states = [s for n, s in self.states.items() if n not in self.frozen]
        if len({state.view for state in states}) != 1:
            return False
        return {r.name for r in states[0].list_members()} == {
            s.own.name for s in states
        }

    def list_seen(self, name: str) -> dict[str, MemberState | None]:
        """Return the state of a router as seen by each other running router."""
        seen: dict[str, MemberState | None] = {}
        for observer, state in self.states.items():
            if observer != name and observer not in self.frozen:
                records = {r.name: r.state for r in state.list_members()}
                seen[observer] = records.get(name)
        return seen

    def _queue_sends(self, name: str, actions: list[Action], time_s: float) -> None:
        for action in actions:
            if isinstance(action, MemberChanged):
                self.changes.append(Change(time_s, name, action.record))
            elif isinstance(action, PeerStateReceived):
                self.heard.append((name, action))
            elif isinstance(action, Send):
                self.sent_bytes[name] += action.estimated_bytes
                if self._is_delivered(name, action.peer_address):
                    carried = self._carry(action.message)
                    self._queue.append((action.peer_address, carried))

    def _is_delivered(self, name: str, to: str) -> bool:
        if to not in self.states or self._random.random() < self._loss:
            return False
        zones = {self.states[name].own.zone, self.states[to].own.zone}
        return len(zones) == 1 or not zones & self.cut_zones
