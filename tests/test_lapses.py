from tamarackrill.decisions.lapses import EXPIRY_GRACE_S, ExpiryGrace


def test_removal_in_calm_is_the_end():
    lapses = ExpiryGrace()
    lapses.observe_store(False, 0.0)
    assert not lapses.observe_removed("a", 10.0)


def test_entries_that_lapse_during_an_outage_are_held():
    # Heartbeats fail while the store is away, and all entries lapse.  A router that
    # dropped them would refuse every client until they are written again.
    lapses = ExpiryGrace()
    lapses.observe_store(True, 0.0)
    lapses.observe_store(False, 61.0)
    assert lapses.observe_removed("a", 61.1)
    assert lapses.expire(61.0 + EXPIRY_GRACE_S - 0.1) == []
    assert lapses.expire(61.0 + EXPIRY_GRACE_S) == ["a"]
    assert lapses.expire(100.0) == []


def test_router_that_is_turned_away_does_not_hold_an_entry_for_ever():
    # The store turns one router away and serves the others.  A worker ends, and the
    # router hears of it from a peer.  Were it to hold the entry until the store answers
    # it again, it would send work to a worker that is gone for all that time.
    lapses = ExpiryGrace()
    lapses.observe_store(True, 0.0)
    assert lapses.observe_removed("a", 5.0)
    assert lapses.expire(5.0 + EXPIRY_GRACE_S) == ["a"]


def test_list_after_an_outage_that_misses_entries_is_no_news_of_their_end():
    lapses = ExpiryGrace()
    lapses.observe_store(True, 0.0)
    lapses.observe_store(False, 5.0)
    assert lapses.observe_removed("a", 5.1)
    lapses.observe_present("a")
    assert lapses.expire(60.0) == []


def test_removal_long_after_an_outage_is_the_end():
    lapses = ExpiryGrace()
    lapses.observe_store(True, 0.0)
    lapses.observe_store(False, 5.0)
    assert not lapses.observe_removed("a", 5.0 + EXPIRY_GRACE_S)
