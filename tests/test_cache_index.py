from tamarackrill.decisions.cache_index import PREFIX_TTL_S, CacheEvent, CacheIndex


def names(index, chat, now_s=10.0):
    return [holder.endpoint for holder in index.holders(chat, now_s)]


def test_late_eviction_does_not_undo_a_newer_send():
    # An eviction is published seconds late, after the chat came back and was computed
    # again.  Taken as news it would send the chat's next turn to an empty engine.
    index = CacheIndex()
    index.record_send("c", "e", 100, now_s=5.0)
    index.observe_event(CacheEvent("e", 1, "evicted", "c", 0, happened_s=4.0))
    index.observe_event(CacheEvent("e", 2, "stored", "c", 1, happened_s=4.5))
    assert index.holders("c", 10.0)[0].tokens == 100


def test_engine_with_a_gap_in_its_events_comes_second():
    # Events of one engine were lost, an eviction perhaps among them.  A caller sent
    # there may find nothing, while another engine surely has a prefix.
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


def test_restarted_engine_holds_nothing_but_what_it_got_since():
    index = CacheIndex()
    index.record_send("old", "e", 100, now_s=1.0)
    index.record_send("new", "e", 100, now_s=3.0)
    index.observe_event(CacheEvent("e", 1, "cleared", "", 0, happened_s=2.0))
    assert (names(index, "old"), names(index, "new")) == ([], ["e"])


def test_index_is_bounded_and_forgets_what_was_not_used():
    index = CacheIndex(chats_kept=2)
    for number, chat in enumerate("abc"):
        index.record_send(chat, "e", 1, float(number))
    assert (len(index), names(index, "a")) == (2, [])
    assert names(index, "c", PREFIX_TTL_S + 5.0) == []
    for engine in "vwxyz":
        index.record_send("d", engine, 1, 1.0)
    assert len(names(index, "d")) == 3
