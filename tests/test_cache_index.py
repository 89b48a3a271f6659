from tamarackrill.decisions.cache_index import PREFIX_TTL_S, CacheEvent, CacheIndex


def names(index, chat, now_s=10.0):
    return [holder.endpoint for holder in index.holders(chat, now_s)]


def test_late_eviction_does_not_override_a_newer_send():
    # An eviction event arrives seconds late, after the chat was computed again.  If it
    # were applied, the chat's next turn would go to an engine without its prefix.
    index = CacheIndex()
    index.record_send("c", "e", 100, now_s=5.0)
    index.observe_event(CacheEvent("e", 1, "evicted", "c", 0, happened_s=4.0))
    index.observe_event(CacheEvent("e", 2, "stored", "c", 1, happened_s=4.5))
    assert index.holders("c", 10.0)[0].tokens == 100


def test_engine_with_a_gap_in_its_events_is_ranked_second():
    # Events of one engine were lost, possibly an eviction among them.  A request sent
    # there may find no prefix, while another engine certainly caches one.
    index = CacheIndex()
    index.record_send("c", "gappy", 900, now_s=1.0)
    index.record_send("c", "whole", 500, now_s=1.0)
    for sequence in (1, 2):
        index.observe_event(CacheEvent("gappy", sequence, "stored", "x", 1, 2.0))
    assert names(index, "c") == ["gappy", "whole"]
    index.observe_event(CacheEvent("gappy", 4, "stored", "x", 1, 3.0))
    assert names(index, "c") == ["whole", "gappy"]
    index.record_send("c", "gappy", 900, now_s=4.0)
    assert names(index, "c") == ["gappy", "whole"]


def test_restart_clears_only_earlier_prefixes_of_an_engine():
    index = CacheIndex()
    index.record_send("old", "e", 100, now_s=1.0)
    index.record_send("new", "e", 100, now_s=3.0)
    index.observe_event(CacheEvent("e", 1, "cleared", "", 0, happened_s=2.0))
    assert (names(index, "old"), names(index, "new")) == ([], ["e"])


def test_index_size_is_bounded_and_unused_entries_expire():
    index = CacheIndex(chats_max=2)
    for number, chat in enumerate("abc"):
        index.record_send(chat, "e", 1, float(number))
    assert (len(index), names(index, "a")) == (2, [])
    assert names(index, "c", PREFIX_TTL_S + 5.0) == []
    for engine in "vwxyz":
        index.record_send("d", engine, 1, 1.0)
    assert len(names(index, "d")) == 3
