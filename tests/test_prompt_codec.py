"""Encoding of news about prompts."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamarackrill.decisions.prompt_reports import (
    BlockReport,
    CrashReport,
    SoundReport,
    TrialReport,
)
from tamarackrill.protocol.prompt_codec import (
    PromptNews,
    decode_prompt_news,
    encode_prompt_news,
)

KEYS = ("new-key", "old-key")
SENT_S = 100.0
HASHES = st.integers(0, 2**64 - 1)
PARTS = st.lists(HASHES, min_size=1, max_size=4).map(tuple)
# Whole milliseconds, the resolution on the wire, before the time of sending.
TIMES_S = st.integers(0, 10_000).map(lambda age_ms: SENT_S - age_ms / 1000)
REPORTS = st.one_of(
    st.builds(CrashReport, HASHES, HASHES, HASHES, PARTS, TIMES_S, TIMES_S),
    st.builds(SoundReport, HASHES, PARTS, TIMES_S),
    st.builds(TrialReport, HASHES, PARTS, TIMES_S, st.booleans()),
    st.builds(BlockReport, HASHES, PARTS, PARTS, TIMES_S, st.integers(0, 9)),
)


@given(st.lists(REPORTS, max_size=4), st.booleans(), st.booleans())
def test_reports_arrive_with_their_ages(reports, asks, is_reply):
    news = PromptNews("router", tuple(reports), asks, is_reply)
    datagram = encode_prompt_news(news, KEYS, SENT_S)
    # The reader's clock has nothing to do with the sender's.
    ahead_s = 1000.0
    read = decode_prompt_news(datagram, KEYS, SENT_S + ahead_s)
    assert (read.sender, read.asks, read.is_reply) == ("router", asks, is_reply)
    assert sorted(map(describe, read.reports)) == sorted(
        describe(report, ahead_s) for report in reports
    )


def describe(report, later_s=0.0):
    """Return the type and fields of a report, with times in whole milliseconds."""
    fields = [
        round((value + later_s) * 1000) if isinstance(value, float) else value
        for value in report
    ]
    return type(report).__name__, str(fields)


def test_router_reads_news_signed_with_the_old_key():
    news = PromptNews("router", (SoundReport(1, (2,), SENT_S),))
    datagram = encode_prompt_news(news, KEYS[1:], SENT_S)
    assert decode_prompt_news(datagram, KEYS, SENT_S) is not None
    assert decode_prompt_news(datagram, KEYS[:1], SENT_S) is None


@pytest.mark.parametrize("parts", [b"", b"1234567", b"123456789"])
def test_cut_off_hashes_are_rejected(parts, monkeypatch):
    # Guards against parts that are blocked because a report of them was cut off.
    news = PromptNews("router", (SoundReport(1, (2,), SENT_S),))
    monkeypatch.setattr(
        "tamarackrill.protocol.prompt_codec._write_hashes", lambda hashes: parts
    )
    datagram = encode_prompt_news(news, KEYS, SENT_S)
    assert decode_prompt_news(datagram, KEYS, SENT_S) is None


@given(st.binary(max_size=200))
def test_garbage_is_ignored(datagram):
    assert decode_prompt_news(datagram, KEYS, SENT_S) is None
