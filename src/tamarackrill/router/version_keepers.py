"""Tells the versions of streams to their keepers and the store, and asks for them."""

import asyncio
import contextlib
import itertools
import math
import secrets
from collections import Counter
from collections.abc import Awaitable, Callable, Collection, Iterator
from typing import NamedTuple

from tamarackrill.decisions.manifests import Route, RouteTable
from tamarackrill.decisions.stream_archive import choose_archiver, find_archive_wait
from tamarackrill.decisions.stream_versions import (
    KEEPERS,
    LIFETIME_DEFAULT_S,
    KeeperReply,
    Router,
    StreamRecord,
    StreamVersions,
    choose_asked,
    choose_keepers,
    identify_stream,
)
from tamarackrill.decisions.version_evidence import (
    HALF,
    StoreCheck,
    VersionNews,
    conclude,
    find_reach,
    list_told_zones,
    must_check_store,
)
from tamarackrill.events import STREAM_TAKEN_UP, log_event
from tamarackrill.protocol.owner_codec import (
    OwnerMessage,
    VersionQuestion,
    VersionReply,
    decode_owner_message,
    encode_owner_message,
)
from tamarackrill.router import lateness
from tamarackrill.router.deployment_view import DeploymentView
from tamarackrill.router.edge_calls import EdgeCall
from tamarackrill.router.ended_checks import EndedChecks
from tamarackrill.router.members import Members
from tamarackrill.router.version_store import VersionStore

# Between two rounds of questions, then as long as has passed: two round trips between
# availability zones, and a late event loop on either side.
REPEAT_S = 0.05
# How long replies are waited for before the store is read: some datagrams get lost, and
# some event loops are late.
REPLY_WAIT_S = 0.1
# How long they are waited for if the store doesn't answer.
REPLY_WAIT_MAX_S = 0.3
TICKET_BITS = 48
# A client that doesn't name the attempt that began its stream.
NO_STREAM = identify_stream("")


class _FoundVersion(NamedTuple):
    """Version that a stream may go on at, None if it isn't known, and how it was found.

    `news` is what it was concluded from, `evidence` what shows that there is no other
    version, and `age_s` how old the news of endpoints were then.
    """

    software_version: str | None
    source: str
    news: VersionNews
    evidence: str
    age_s: float


class _Inquiry:
    """Replies to the questions about one stream.

    Parameters
    ----------
    stream : int
        The stream.
    service : str
        Its service.

    Attributes
    ----------
    replies : dict of str to KeeperReply
        Replies by the router that sent them.
    tickets : list of int
        Tickets of the questions.
    has_changed : asyncio.Event
        Set at each reply, and by others who wait for the same end.
    """

    def __init__(self, stream: int, service: str) -> None:
        self.stream = stream
        self.service = service
        self.replies: dict[str, KeeperReply] = {}
        self.tickets: list[int] = []
        self.has_changed = asyncio.Event()

    def take(self, router: str, reply: KeeperReply) -> None:
        """Process a reply; the last one of a router counts."""
        self.replies[router] = reply
        self.has_changed.set()

    async def wait(self, timeout_s: float, is_over: Callable[[], bool]) -> None:
        """Wait until `is_over`, which is called at each change."""
        with contextlib.suppress(TimeoutError):
            async with lateness.timeout(timeout_s):
                while not is_over():
                    self.has_changed.clear()
                    await self.has_changed.wait()


class VersionKeepers:
    """Client and server of the versions of streams; see `decisions.stream_versions`.

    Parameters
    ----------
    view : DeploymentView
        Current endpoints and routes.
    members : Members
        Live routers, including this one.
    send : callable
        Sends a datagram to a peer address.
    peer_keys : tuple of str
        The first key signs; all of them verify.
    clock : callable
        Returns the current time.
    is_current : callable
        Returns whether the known endpoints are as the platform has them now.
    zones : collection of str
        Availability zones of the deployment; empty if unknown.
    news_max_s : float
        Time in which news of endpoints reach all routers.
    find_known_s : callable
        Returns the time as of which the known endpoints are those of the platform,
        -inf without any.
    find_resumed_s : callable
        Returns when the event loop of this router last went on after a pause.
    find_stood_still_s : callable
        Returns when it last went on after a pause in which versions may have changed.
    ended : EndedChecks
        Finds out which of the routers that were taken for dead have ended.
    check_store : callable
        ``await check_store()`` brings endpoints and versions up to date by a read that
        is sent after this call, and returns whether it was answered.
    is_store_lost : callable
        Returns whether the last calls to the store were not answered.
    has_seeds : bool
        Whether there are other routers that this one hasn't found yet.
    make_store : callable
        Returns the client of what the store keeps, given the versions known here and
        this router.

    Attributes
    ----------
    counts : Counter
        Records told and kept, and streams taken up by how their version was found.
    store : VersionStore
        Versions and streams that the platform's store keeps.
    """

    def __init__(
        self,
        view: DeploymentView,
        members: Members,
        send: Callable[[str, bytes], None],
        peer_keys: tuple[str, ...],
        clock: Callable[[], float],
        is_current: Callable[[], bool],
        zones: Collection[str],
        news_max_s: float,
        find_known_s: Callable[[], float],
        find_resumed_s: Callable[[], float],
        find_stood_still_s: Callable[[], float],
        ended: EndedChecks,
        check_store: Callable[[], Awaitable[bool]],
        is_store_lost: Callable[[], bool],
        has_seeds: bool,
        make_store: Callable[[StreamVersions, Router], VersionStore],
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.versions = StreamVersions(clock())
        self._view = view
        self._members = members
        self._send = send
        self._peer_keys = peer_keys
        self._clock = clock
        self._is_current = is_current
        self._zones = frozenset(zones)
        self._news_max_s = news_max_s
        self._find_known_s = find_known_s
        self._find_resumed_s = find_resumed_s
        self._find_stood_still_s = find_stood_still_s
        self._ended = ended
        self._check_store = check_store
        self._is_store_lost = is_store_lost
        # Whether there are other routers, as far as was ever known, and their zones.
        self._has_others = has_seeds
        self._seen_zones: set[str] = set()
        # Zones with routers that may run.
        self._used_zones: set[str] = set()
        self._started_s = clock()
        # Random, so that no reply to an earlier process on this address is accepted.
        self._tickets = itertools.count(secrets.randbits(TICKET_BITS))
        # Questions by ticket, with the router that is asked.
        self._pending: dict[int, tuple[_Inquiry, str]] = {}
        # What others know of the services with versions that join.
        self._joining: dict[str, _Inquiry] = {}
        self._own = Router(members.own.name, members.own.zone)
        self.store = make_store(self.versions, self._own)
        self._routers: tuple[Router, ...] = ()
        self._by_name: dict[str, Router] = {}
        self._incarnations: dict[str, int] = {}
        # When routers ended or were taken for dead.
        self._lost_s: dict[str, float] = {}
        # Routers that know a stream of this one, with their incarnations.
        self._told: dict[int, dict[str, int]] = {}
        self._addresses: dict[str, str] = {}
        # A manifest may have thousands of routes, and seldom changes.
        self._table: RouteTable | None = None
        self._lifetime_s = LIFETIME_DEFAULT_S
        # Longest that a client waits for a stream; it may come back until then.
        self._wait_max_s = 0.0
        # None until the endpoints have been known.
        self._was_current: bool | None = None
        self._updated_s = clock()
        # A router that ends before its next update has told nobody who joined since.
        members.on_replaced.append(self._update_routers)

    def update(self) -> None:
        """Update routers and versions, and forget streams that have ended."""
        now_s = self._clock()
        self._update_routers()
        for stream in self.versions.expire(now_s):
            self._told.pop(stream, None)
        if self._view.routes is None:
            return
        if self._view.routes is not self._table:
            self._table = self._view.routes
            resumable = _list_resumable(self._table)
            self._lifetime_s = max(
                (route.timeout_s for route in resumable), default=LIFETIME_DEFAULT_S
            )
            self.store.update_services(
                tuple(sorted({share.service for r in resumable for share in r.shares}))
            )
        endpoints = self._view.list_endpoints()
        is_current = self._observe_current(now_s)
        for record in self.versions.observe_endpoints(
            endpoints, max(self._lifetime_s, self._wait_max_s), now_s, is_current
        ):
            self._tell(record)
        self._ask_joining()

    def _ask_joining(self) -> None:
        """Ask whether other routers know the versions that join."""
        services = self.versions.list_with_joining()
        for service in self._joining.keys() - services:
            self._end(self._joining.pop(service))
        if services:
            self._ended.update()
        for service in services:
            inquiry = self._joining.setdefault(
                service, _Inquiry(identify_stream(service), service)
            )
            joining = self._list_joining(service)
            known = [
                name
                for name, reply in inquiry.replies.items()
                if joining.issubset(reply.versions)
            ]
            if joining:
                self._ask_silent(inquiry, known)

    def _list_joining(self, service: str) -> set[str]:
        """Return the versions at which streams should not begin yet."""
        now_s = self._clock()
        known = []
        for version in self.versions.list_versions(service, now_s):
            replied = self._list_replied(service, version)
            if self._find_reach_running(service, replied) >= HALF:
                known.append(version)
        return self.versions.list_joining(service, self._news_max_s, now_s, known)

    def _list_replied(self, service: str, version: str | None = None) -> list[str]:
        """Return the routers that replied since a version joined, or that know one."""
        inquiry = self._joining.get(service)
        return [
            name
            for name, reply in (inquiry.replies.items() if inquiry else ())
            if version is None or version in reply.versions
        ]

    def _observe_current(self, now_s: float) -> bool:
        """Return whether the known endpoints aren't outdated."""
        is_current = self._is_current()
        # Without updates for so long, the endpoints were outdated in between.
        updated_s, self._updated_s = self._updated_s, now_s
        is_current = is_current and now_s - updated_s <= self._news_max_s
        if self._was_current is None and not is_current:
            # This router has just started; what it must know is read anyway.
            return True
        if is_current and self._was_current is False:
            self.store.read_again()
        self._was_current = is_current
        return is_current

    def _update_routers(self) -> None:
        live = self._members.list_live()
        present = (*self._members.list_all(), *self._members.lost)
        self._used_zones = {member.zone for member in present}
        self._seen_zones |= self._used_zones
        self._has_others |= any(member.name != self._own.name for member in live)
        routers = tuple(Router(member.name, member.zone) for member in live)
        self._addresses = {member.name: member.peer_address for member in live}
        incarnations = {member.name: member.incarnation for member in live}
        if routers == self._routers and incarnations == self._incarnations:
            return
        now_s = self._clock()
        oldest_s = now_s - self.versions.lifetime_s
        self._lost_s = {n: s for n, s in self._lost_s.items() if s > oldest_s} | {
            name: now_s
            for name, started in self._incarnations.items()
            if incarnations.get(name) != started
        }
        self._routers, self._incarnations = routers, incarnations
        self._by_name = {router.name: router for router in routers}
        self.store.update_routers(routers)
        own = self.versions.list_own()
        self._told = {r.stream: self._told.get(r.stream, {}) for r in own}
        for record in own:
            told = self._told[record.stream]
            if len(told) < KEEPERS or any(
                self._incarnations.get(name) != started
                for name, started in told.items()
            ):
                self._tell(record)

    def find_joining(self, service: str) -> set[str]:
        """Return the endpoints at which streams should not begin yet.

        Empty if the others have less than half of the service's slots, but not at a
        router that doesn't reach more than half of all.
        """
        if service not in self.versions.list_with_joining():
            return set()
        joining = self._list_joining(service)
        if not joining:
            return set()
        pool = self._view.find_pool(service).by_name
        names = {n for n, e in pool.items() if e.software_version in joining}
        slots = sum(endpoint.slots for endpoint in pool.values())
        joining_slots = sum(pool[name].slots for name in names)
        replied = self._list_replied(service)
        reach = self._find_reach_running(service, replied)
        return names if 2 * joining_slots <= slots or reach <= HALF else set()

    def record_begin(self, call: EdgeCall, software_version: str) -> None:
        """Record the version of a stream before its first event is forwarded."""
        if not call.route.is_resumable:
            return
        wait_s = min(call.headers.wait_s or 0.0, LIFETIME_DEFAULT_S)
        self._wait_max_s = max(self._wait_max_s, wait_s)
        stream = identify_stream(call.stream_id)
        now_s = self._clock()
        if self.versions.begin(stream, call.service, software_version, now_s):
            self._tell(StreamRecord(stream, software_version))

    def record_end(self, call: EdgeCall) -> None:
        """Forget a stream that its client has received completely."""
        stream = identify_stream(call.stream_id)
        self.versions.end(stream)
        self._told.pop(stream, None)

    async def find_version(self, call: EdgeCall) -> str | None:
        """Return the version that a stream may go on at, None if that isn't known.

        Parameters
        ----------
        call : EdgeCall
            Request of a client that takes a stream up.
        """
        found = await self._find(call)
        self.counts[found.source] += 1
        log_event(
            STREAM_TAKEN_UP,
            request=call.request_id,
            resumed=call.headers.resumed_id,
            service=call.service,
            software_version=found.software_version or "",
            source=found.source,
            versions=list(found.news.own.versions),
            has_history=found.news.own.has_history,
            news_age_s=round(found.age_s, 3) if math.isfinite(found.age_s) else -1,
            replies=len(found.news.replies),
            zones=sorted({router.zone for router in found.news.replies}),
            evidence=found.evidence,
            store=found.news.store,
            routers=len(self._routers),
        )
        return found.software_version

    async def _find(self, call: EdgeCall) -> _FoundVersion:
        """Return the version of a stream, and who knows it."""
        arrived_s = self._clock()
        stream = identify_stream(call.headers.resumed_id)
        with self._inquire(stream, call.service) as inquiry:
            if self.versions.find(stream) is not None:
                return self._conclude(inquiry, "unasked")
            # Also if only one version is known here, as another router may know more.
            store = await self._gather_evidence(inquiry)
        replies = inquiry.replies
        self.versions.learn(call.service, replies.values(), self._clock())
        found = self._conclude(inquiry, store)
        if found.software_version is not None or store == "unreachable":
            return found
        if stream != NO_STREAM:
            await self._read_archive(stream, replies, arrived_s, call.deadline_s)
        version = self.versions.find(stream)
        source = "unknown" if version is None else "archive"
        return found._replace(software_version=version, source=source)

    def _collect(self, inquiry: _Inquiry, store: StoreCheck = "unasked") -> VersionNews:
        """Return what this router knows of a stream now."""
        stream, replies = inquiry.stream, inquiry.replies
        used = self._used_zones
        unseen = self._zones - self._seen_zones - {self._own.zone}
        if self._clock() < self._started_s + self.versions.lifetime_s:
            # It may not have found all others yet.
            used, unseen = used | unseen, frozenset()
        return VersionNews(
            self._describe(inquiry.service, stream),
            # A router may have been taken for dead while its reply was on its way.
            {
                self._by_name[name]: reply
                for name, reply in replies.items()
                if name in self._by_name
            },
            list_told_zones(self._own, self._routers, used),
            self._own.zone,
            unseen,
            self._is_certain(stream, replies),
            self._find_reach(stream, replies, len(self._members.lost)),
            store,
            not self._has_others,
        )

    def _is_certain(self, stream: int, replied: Collection[str]) -> bool:
        """Return whether all replied that may know a stream."""
        if self._find_silent(stream, replied):
            return False
        if stream != NO_STREAM:
            return True
        # Any router may have begun it.
        return not self._members.lost and len(replied) + 1 >= len(self._routers)

    def _find_reach_running(self, service: str, replied: Collection[str]) -> float:
        """Return the share of the routers that may conclude the version of a stream."""
        running = self._ended.count_running()
        return self._find_reach(identify_stream(service), replied, running)

    def _find_reach(self, stream: int, replied: Collection[str], lost: int) -> float:
        return find_reach(
            self._own,
            self._routers,
            lost,
            choose_asked(stream, self._routers, self._own),
            replied,
        )

    def _conclude(self, inquiry: _Inquiry, store: StoreCheck) -> _FoundVersion:
        news = self._collect(inquiry, store)
        version, evidence = conclude(news)
        if news.own.software_version:
            # Perhaps its router has told it meanwhile.
            source = "own"
        elif any(reply.software_version for reply in inquiry.replies.values()):
            source = "keeper"
        else:
            source = "unknown" if version is None else "only"
        age_s = self._clock() - self._find_known_s()
        return _FoundVersion(version, source, news, evidence, age_s)

    def _describe(self, service: str, stream: int) -> KeeperReply:
        """Return what this router knows of a stream, at the age that its news have."""
        now_s, known_s = self._clock(), self._find_known_s()
        return self.versions.describe(
            service,
            stream,
            now_s,
            now_s - known_s <= self._news_max_s,
            known_s < self._find_resumed_s(),
            known_s < self._find_stood_still_s(),
        )

    async def _read_archive(
        self,
        stream: int,
        replied: Collection[str],
        arrived_s: float,
        deadline_s: float,
    ) -> None:
        """Read the archived streams until one that no router knows may be among them.

        Parameters
        ----------
        stream : int
            The stream.
        replied : collection of str
            Routers that don't know it.
        arrived_s, deadline_s : float
            Arrival and deadline of the request.
        """
        await self.store.read_streams()
        wait = find_archive_wait(
            self._find_silent(stream, replied),
            self._lost_s,
            self._used_zones.difference(router.zone for router in self._routers),
            self._routers,
            self.versions.lifetime_s,
            arrived_s,
            deadline_s,
        )
        if wait is not None and self.versions.find(stream) is None:
            await self.store.read_streams_later(wait)

    def _find_silent(self, stream: int, replied: Collection[str]) -> list[str]:
        asked = choose_asked(stream, self._routers, self._own)
        return [name for name in asked if name not in replied]

    async def _gather_evidence(self, inquiry: _Inquiry) -> StoreCheck:
        """Ask until replies or the store show a version; return what the store did."""
        asked_s = self._clock()
        # Routers that have just ended are silent, and datagrams get lost.
        if not await self._ask_until(
            inquiry, asked_s, REPLY_WAIT_S, lambda: self._has_replies(inquiry)
        ):
            self.counts["keepers_silent"] += 1
        if not must_check_store(self._collect(inquiry)):
            return "unasked"
        if self._is_store_lost() and self._has_evidence(inquiry, "unreachable"):
            return "unreachable"
        reading = asyncio.ensure_future(self._check_store())
        reading.add_done_callback(lambda _: inquiry.has_changed.set())
        try:
            await self._ask_until(
                inquiry,
                asked_s,
                math.inf,
                lambda: reading.done() or self._has_evidence(inquiry, "unasked"),
            )
        finally:
            reading.cancel()
        if reading.cancelled() or not reading.done():
            return "unasked"
        if reading.result():
            return "confirmed"
        await self._ask_until(
            inquiry,
            asked_s,
            REPLY_WAIT_MAX_S,
            lambda: (
                self._has_replies(inquiry) or self._has_evidence(inquiry, "unreachable")
            ),
        )
        return "unreachable"

    async def _ask_until(
        self,
        inquiry: _Inquiry,
        asked_s: float,
        wait_s: float,
        is_over: Callable[[], bool],
    ) -> bool:
        """Ask those that have not replied, ever less often, until `is_over`.

        Parameters
        ----------
        inquiry : _Inquiry
            What is asked.
        asked_s : float
            When it was asked first.
        wait_s : float
            For how long since then.
        is_over : callable
            Called at each reply.

        Returns
        -------
        bool
            Whether it is over.
        """
        while not is_over():
            passed_s = self._clock() - asked_s
            if passed_s >= wait_s:
                return False
            self._ask_silent(inquiry)
            await inquiry.wait(min(max(REPEAT_S, passed_s), wait_s - passed_s), is_over)
        return True

    def _has_evidence(self, inquiry: _Inquiry, store: StoreCheck) -> bool:
        return conclude(self._collect(inquiry, store))[0] is not None

    def _has_replies(self, inquiry: _Inquiry) -> bool:
        """Return whether all have replied, or one that knows the stream."""
        if any(reply.software_version for reply in inquiry.replies.values()):
            return True
        return not self._find_silent(inquiry.stream, inquiry.replies)

    @contextlib.contextmanager
    def _inquire(self, stream: int, service: str) -> Iterator[_Inquiry]:
        """Process replies to the questions about a stream."""
        inquiry = _Inquiry(stream, service)
        try:
            yield inquiry
        finally:
            self._end(inquiry)

    def _end(self, inquiry: _Inquiry) -> None:
        for ticket in inquiry.tickets:
            self._pending.pop(ticket, None)

    def _ask_silent(
        self, inquiry: _Inquiry, replied: Collection[str] | None = None
    ) -> None:
        """Ask the possible keepers that have not replied."""
        if replied is None:
            replied = inquiry.replies
        for name in self._find_silent(inquiry.stream, replied):
            ticket = next(self._tickets)
            self._pending[ticket] = inquiry, name
            inquiry.tickets.append(ticket)
            question = VersionQuestion(ticket, inquiry.stream, inquiry.service)
            self._send_message(name, question)

    def _tell(self, record: StreamRecord) -> None:
        """Tell a record to all that have to know it and don't yet."""
        archiver = choose_archiver(record.stream, self._routers, self._own)
        keepers = choose_keepers(record.stream, self._routers, self._own)
        before = self._told.get(record.stream, {})
        told = {name: self._incarnations.get(name, 0) for name in (*keepers, archiver)}
        self._told[record.stream] = told
        for name, started in told.items():
            if before.get(name) == started and name != archiver:
                continue
            self.counts["told"] += 1
            if name == self._own.name:
                self.store.archive(record)
            else:
                self._send_message(name, record._replace(must_archive=name == archiver))

    def _send_message(self, router: str, message: OwnerMessage) -> None:
        address = self._addresses.get(router)
        if address:
            self._send(address, encode_owner_message(message, self._peer_keys))

    def handle_datagram(self, datagram: bytes, source: str) -> bool:
        """Process a datagram; return whether it was about versions of streams."""
        message = decode_owner_message(datagram, self._peer_keys)
        if isinstance(message, StreamRecord):
            self.counts["kept"] += 1
            self.versions.keep(message, self._clock())
            if message.must_archive:
                self.store.archive(message)
        elif isinstance(message, VersionQuestion):
            self._reply(message, source)
        elif isinstance(message, VersionReply):
            self._take_reply(message)
        else:
            return False
        return True

    def _take_reply(self, message: VersionReply) -> None:
        if message.ticket not in self._pending:
            return
        inquiry, router = self._pending.pop(message.ticket)
        inquiry.take(
            router,
            KeeperReply(
                message.software_version,
                tuple(message.versions),
                message.has_history,
                message.had_history,
            ),
        )

    def _reply(self, question: VersionQuestion, source: str) -> None:
        found = self._describe(question.service_name, question.stream)
        reply = VersionReply(
            question.ticket,
            found.software_version,
            list(found.versions),
            found.has_history,
            found.had_history,
        )
        self._send(source, encode_owner_message(reply, self._peer_keys))


def _list_resumable(table: RouteTable) -> list[Route]:
    """Return the routes whose streams may be resumed."""
    return [
        route
        for route in table.manifest.routes
        if route.kind == "streaming" and route.is_resumable
    ]
