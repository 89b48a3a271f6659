"""Encoding and proof of origin of news of placements; see `placement_news`."""

from collections.abc import Iterable
from itertools import groupby
from typing import Any, TypeVar

from thriftpy2.protocol.compact import TCompactProtocol
from thriftpy2.transport import TMemoryBuffer

from tamarackrill.decisions.endpoint_news import FailureReport, MisplacedReport
from tamarackrill.decisions.loads import EndpointLoad
from tamarackrill.decisions.placement_news import Entry, Holding, News, Stage
from tamarackrill.protocol import structs
from tamarackrill.protocol.codec import MAC_BYTES, require_text, sign, verify

_DOMAIN_SEPARATOR = b"placements\0"
_KEY_BYTES = 8
_E = TypeVar("_E")


def encode_news(news: News, keys: tuple[str, ...]) -> bytes:
    """Return the datagram of news, signed with the first key."""
    payload = serialize_news(news)
    return sign(_DOMAIN_SEPARATOR + payload, keys[0]) + payload


def decode_news(datagram: bytes, keys: tuple[str, ...]) -> News | None:
    """Return the news of a datagram, or None if it holds none of a peer's."""
    digest, payload = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
    if not verify(digest, _DOMAIN_SEPARATOR + payload, keys):
        return None
    return deserialize_news(payload)


def serialize_news(news: News) -> bytes:
    """Return news without a proof."""
    struct = structs.PlacementNews(
        sender=news.sender,
        stage=int(news.stage),
        holdings=[
            structs.EngineHoldings(
                engine=engine,
                keys=b"".join(bytes.fromhex(held.key) for held in group),
                tokens=[held.tokens for held in group],
            )
            for engine, group in _group_by_engine(news.entries)
        ],
        full=[structs.FullEndpoint(*e) for e in _select(EndpointLoad, news.entries)],
        failing=[
            structs.FailingEndpoint(*e) for e in _select(FailureReport, news.entries)
        ],
        misplaced=[e.endpoint for e in _select(MisplacedReport, news.entries)],
    )
    buffer = TMemoryBuffer()
    struct.write(TCompactProtocol(buffer))
    return bytes(buffer.getvalue())


def deserialize_news(payload: bytes) -> News | None:
    """Return news, or None if these bytes hold none."""
    struct = structs.PlacementNews()
    try:
        struct.read(TCompactProtocol(TMemoryBuffer(payload)))
        entries: list[Entry] = [
            held for item in struct.holdings or () for held in _read_holdings(item)
        ]
        entries += [_read_full(item) for item in struct.full or ()]
        entries += [_read_failing(item) for item in struct.failing or ()]
        entries += [
            MisplacedReport(require_text(name)) for name in struct.misplaced or ()
        ]
        return News(require_text(struct.sender), Stage(struct.stage), tuple(entries))
    # The parser raises whatever the bytes lead it to; a peer of a later release must
    # not be able to end the task that reads the socket.
    except Exception:
        return None


def _select(kind: type[_E], entries: Iterable[Entry]) -> list[_E]:
    return [entry for entry in entries if isinstance(entry, kind)]


def _group_by_engine(entries: Iterable[Entry]) -> list[tuple[str, list[Holding]]]:
    ordered = sorted(_select(Holding, entries), key=lambda held: held.engine)
    grouped = groupby(ordered, key=lambda held: held.engine)
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


def _read_holdings(struct: Any) -> list[Holding]:
    engine = require_text(struct.engine)
    if len(struct.keys) != _KEY_BYTES * len(struct.tokens):
        raise ValueError("not as many keys as tokens")
    starts = range(0, len(struct.keys), _KEY_BYTES)
    keys = [struct.keys[start : start + _KEY_BYTES].hex() for start in starts]
    return [
        Holding(engine, key, tokens + 0)
        for key, tokens in zip(keys, struct.tokens, strict=True)
    ]
