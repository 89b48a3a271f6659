"""Encoding and proof of origin of news of placements; see `placement_news`."""

from collections.abc import Iterable
from itertools import groupby
from typing import Any

from thriftpy2.protocol.compact import TCompactProtocol
from thriftpy2.transport import TMemoryBuffer

from tamarackrill.decisions.placement_news import Held, News, Stage
from tamarackrill.protocol import structs
from tamarackrill.protocol.codec import DIGEST_BYTES, need_text, sign, verify

_CONTEXT = b"placements\0"
_KEY_BYTES = 8


def encode_news(news: News, keys: tuple[str, ...]) -> bytes:
    """Return the datagram of news, signed with the first key."""
    payload = write_news(news)
    return sign(_CONTEXT + payload, keys[0]) + payload


def decode_news(datagram: bytes, keys: tuple[str, ...]) -> News | None:
    """Return the news of a datagram, or None if it holds none of a peer's."""
    digest, payload = datagram[:DIGEST_BYTES], datagram[DIGEST_BYTES:]
    if not verify(digest, _CONTEXT + payload, keys):
        return None
    return read_news(payload)


def write_news(news: News) -> bytes:
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
    )
    buffer = TMemoryBuffer()
    struct.write(TCompactProtocol(buffer))
    return bytes(buffer.getvalue())


def read_news(payload: bytes) -> News | None:
    """Return news, or None if these bytes hold none."""
    struct = structs.PlacementNews()
    try:
        struct.read(TCompactProtocol(TMemoryBuffer(payload)))
        entries = [
            held for item in struct.holdings or () for held in _read_holdings(item)
        ]
        return News(need_text(struct.sender), Stage(struct.stage), tuple(entries))
    # The parser raises whatever the bytes lead it to; a peer of a later release must
    # not be able to end the task that reads the socket.
    except Exception:
        return None


def _group_by_engine(entries: Iterable[Held]) -> list[tuple[str, list[Held]]]:
    ordered = sorted(entries, key=lambda held: held.engine)
    grouped = groupby(ordered, key=lambda held: held.engine)
    return [(engine, list(group)) for engine, group in grouped]


def _read_holdings(struct: Any) -> list[Held]:
    engine = need_text(struct.engine)
    if len(struct.keys) != _KEY_BYTES * len(struct.tokens):
        raise ValueError("not as many keys as tokens")
    starts = range(0, len(struct.keys), _KEY_BYTES)
    keys = [struct.keys[start : start + _KEY_BYTES].hex() for start in starts]
    return [
        Held(engine, key, tokens + 0)
        for key, tokens in zip(keys, struct.tokens, strict=True)
    ]
