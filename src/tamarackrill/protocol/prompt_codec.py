"""Encoding and authentication of news about prompts; see `decisions.prompt_faults`.

Reports state ages, as routers have no common clock.
"""

from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple, TypeVar

from thriftpy2.protocol.compact import TCompactProtocol
from thriftpy2.transport import TMemoryBuffer

from tamarackrill.decisions.prompt_reports import (
    BlockReport,
    CrashReport,
    SoundReport,
    TrialReport,
)
from tamarackrill.protocol import structs
from tamarackrill.protocol.codec import (
    MAC_BYTES,
    from_signed,
    require_text,
    sign,
    to_signed,
    verify,
)

Report = CrashReport | SoundReport | TrialReport | BlockReport
_R = TypeVar("_R", CrashReport, SoundReport, TrialReport, BlockReport)

_DOMAIN_SEPARATOR = b"prompts\0"
_HASH_BYTES = 8
# An age in milliseconds is an i32; evidence is forgotten long before.
_AGE_MAX_MS = 2**31 - 1


class PromptNews(NamedTuple):
    """News of one router.

    Parameters
    ----------
    sender : str
        Name of the router.
    reports : tuple of Report
        Its reports, with times by the clock of whoever reads them.
    asks : bool
        Whether the sender wants to hear all that is known.
    is_reply : bool
        Whether this answers such a question.
    """

    sender: str
    reports: tuple[Report, ...]
    asks: bool = False
    is_reply: bool = False


def encode_prompt_news(news: PromptNews, keys: tuple[str, ...], now_s: float) -> bytes:
    """Encode news as a datagram that is authenticated with the first key."""
    buffer = TMemoryBuffer()
    _to_struct(news, now_s).write(TCompactProtocol(buffer))
    payload = buffer.getvalue()
    return sign(_DOMAIN_SEPARATOR + payload, keys[0]) + payload


def decode_prompt_news(
    datagram: bytes, keys: tuple[str, ...], now_s: float
) -> PromptNews | None:
    """Decode a datagram; None if it is malformed or not authentic."""
    mac, payload = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
    if not verify(mac, _DOMAIN_SEPARATOR + payload, keys):
        return None
    struct = structs.PromptNews()
    try:
        struct.read(TCompactProtocol(TMemoryBuffer(payload)))
        return _from_struct(struct, now_s)
    # The parser may raise any exception; a message from a peer of a later release must
    # not end the task that reads the socket.
    except Exception:
        return None


def _to_struct(news: PromptNews, now_s: float) -> Any:
    def write_age_ms(time_s: float) -> int:
        return min(_AGE_MAX_MS, max(0, round((now_s - time_s) * 1000)))

    return structs.PromptNews(
        sender=news.sender,
        asks=news.asks,
        is_reply=news.is_reply,
        crashes=[
            structs.PromptCrash(
                to_signed(report.scope),
                to_signed(report.process),
                to_signed(report.team),
                _write_hashes(report.parts),
                write_age_ms(report.sent_s),
                write_age_ms(report.crashed_s),
            )
            for report in _select(CrashReport, news.reports)
        ]
        or None,
        sound=[
            structs.SoundPrompt(
                to_signed(report.scope),
                _write_hashes(report.parts),
                write_age_ms(report.seen_s),
            )
            for report in _select(SoundReport, news.reports)
        ]
        or None,
        trials=[
            structs.PartTrial(
                to_signed(report.scope),
                _write_hashes(report.parts),
                write_age_ms(report.began_s),
                report.is_over,
            )
            for report in _select(TrialReport, news.reports)
        ]
        or None,
        blocks=[
            structs.PartBlock(
                to_signed(report.scope),
                _write_hashes(report.parts),
                _write_hashes(report.teams),
                write_age_ms(report.blocked_s),
                report.trials,
            )
            for report in _select(BlockReport, news.reports)
        ]
        or None,
    )


def _from_struct(struct: Any, now_s: float) -> PromptNews:
    def read_age_s(age_ms: int) -> float:
        return now_s - max(0, age_ms) / 1000

    crashes = [
        CrashReport(
            from_signed(item.scope),
            from_signed(item.process),
            from_signed(item.team),
            _read_hashes(item.parts),
            read_age_s(item.sent_ms),
            read_age_s(item.crashed_ms),
        )
        for item in struct.crashes or ()
    ]
    sound = [
        SoundReport(
            from_signed(item.scope), _read_hashes(item.parts), read_age_s(item.seen_ms)
        )
        for item in struct.sound or ()
    ]
    trials = [
        TrialReport(
            from_signed(item.scope),
            _read_hashes(item.parts),
            read_age_s(item.began_ms),
            bool(item.is_over),
        )
        for item in struct.trials or ()
    ]
    blocks = [
        BlockReport(
            from_signed(item.scope),
            _read_hashes(item.parts),
            _read_hashes(item.teams),
            read_age_s(item.blocked_ms),
            max(0, item.trials),
        )
        for item in struct.blocks or ()
    ]
    return PromptNews(
        require_text(struct.sender),
        (*crashes, *sound, *trials, *blocks),
        bool(struct.asks),
        bool(struct.is_reply),
    )


def _select(kind: type[_R], reports: Iterable[Report]) -> list[_R]:
    return [report for report in reports if isinstance(report, kind)]


def _write_hashes(hashes: Sequence[int]) -> bytes:
    return b"".join(value.to_bytes(_HASH_BYTES) for value in hashes)


def _read_hashes(data: bytes) -> tuple[int, ...]:
    if not data or len(data) % _HASH_BYTES:
        raise ValueError("hashes are missing or cut off")
    starts = range(0, len(data), _HASH_BYTES)
    return tuple(int.from_bytes(data[i : i + _HASH_BYTES]) for i in starts)
