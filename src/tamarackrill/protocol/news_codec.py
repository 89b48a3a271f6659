"""Encoding and authentication of `News`; see `decisions.placement_news`."""

from collections.abc import Iterable
from itertools import groupby
from typing import Any, TypeVar

from thriftpy2.protocol.compact import TCompactProtocol
from thriftpy2.transport import TMemoryBuffer

from tamarackrill.decisions.endpoint_news import (
    BrittleReport,
    FailureReport,
    MisplacedReport,
)
from tamarackrill.decisions.loads import EndpointLoad
from tamarackrill.decisions.placement_news import Entry, Holding, News, Stage
from tamarackrill.protocol import structs
from tamarackrill.protocol.codec import MAC_BYTES, require_text, sign, verify

_DOMAIN_SEPARATOR = b"placements\0"
_KEY_BYTES = 8
_E = TypeVar("_E")


def encode_news(news: News, keys: tuple[str, ...]) -> bytes:
    """Encode news as a datagram that is authenticated with the first key."""
    payload = serialize_news(news)
    return sign(_DOMAIN_SEPARATOR + payload, keys[0]) + payload


def decode_news(datagram: bytes, keys: tuple[str, ...]) -> News | None:
    """Decode a datagram; None if it is malformed or not authentic."""
    mac, payload = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
    if not verify(mac, _DOMAIN_SEPARATOR + payload, keys):
        return None
    return deserialize_news(payload)


def serialize_news(news: News) -> bytes:
    """Encode news without a MAC."""
    struct = structs.PlacementNews(
        sender=news.sender,
        stage=int(news.stage),
        holdings=[
            structs.EngineHoldings(
                engine=engine,
                keys=b"".join(bytes.fromhex(holding.key) for holding in group),
                tokens=[holding.tokens for holding in group],
            )
            for engine, group in _group_by_engine(news.entries)
        ],
        full=[
            structs.FullEndpoint(*entry)
            for entry in _select(EndpointLoad, news.entries)
        ],
        failing=[
            structs.FailingEndpoint(*entry)
            for entry in _select(FailureReport, news.entries)
        ],
        misplaced=[entry.endpoint for entry in _select(MisplacedReport, news.entries)],
        brittle=[
            structs.BrittleEndpoint(*entry)
            for entry in _select(BrittleReport, news.entries)
        ],
    )
    buffer = TMemoryBuffer()
    struct.write(TCompactProtocol(buffer))
    return bytes(buffer.getvalue())


def deserialize_news(payload: bytes) -> News | None:
    """Decode news without a MAC; None if it is malformed."""
    struct = structs.PlacementNews()
    try:
        struct.read(TCompactProtocol(TMemoryBuffer(payload)))
        entries: list[Entry] = [
            holding
            for item in struct.holdings or ()
            for holding in _read_holdings(item)
        ]
        entries += [_read_full(item) for item in struct.full or ()]
        entries += [_read_failing(item) for item in struct.failing or ()]
        entries += [
            MisplacedReport(require_text(name)) for name in struct.misplaced or ()
        ]
        entries += [_read_brittle(item) for item in struct.brittle or ()]
        return News(require_text(struct.sender), Stage(struct.stage), tuple(entries))
    # The parser may raise any exception; a message from a peer of a later release must
    # not end the task that reads the socket.
    except Exception:
        return None


def _select(kind: type[_E], entries: Iterable[Entry]) -> list[_E]:
    return [entry for entry in entries if isinstance(entry, kind)]


def _group_by_engine(entries: Iterable[Entry]) -> list[tuple[str, list[Holding]]]:
    ordered = sorted(_select(Holding, entries), key=lambda holding: holding.engine)
    grouped = groupby(ordered, key=lambda holding: holding.engine)
    return [(engine, list(group)) for engine, group in grouped]


def _read_full(struct: Any) -> EndpointLoad:
    return EndpointLoad(require_text(struct.endpoint), max(0, struct.in_flight + 0))


def _read_failing(struct: Any) -> FailureReport:
    return FailureReport(
        require_text(struct.endpoint),
        struct.teller + 0,
        struct.sequence + 0,
        max(0, struct.failed + 0),
    )


def _read_brittle(struct: Any) -> BrittleReport:
    return BrittleReport(
        require_text(struct.endpoint),
        struct.reporter + 0,
        struct.sequence + 0,
        max(0, struct.limit + 0),
        max(0, struct.rejected + 0),
    )


def _read_holdings(struct: Any) -> list[Holding]:
    engine = require_text(struct.engine)
    if len(struct.keys) != _KEY_BYTES * len(struct.tokens):
        raise ValueError("the numbers of keys and tokens differ")
    starts = range(0, len(struct.keys), _KEY_BYTES)
    keys = [struct.keys[start : start + _KEY_BYTES].hex() for start in starts]
    return [
        Holding(engine, key, tokens + 0)
        for key, tokens in zip(keys, struct.tokens, strict=True)
    ]
