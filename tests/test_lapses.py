from tamarackrill.decisions.lapses import EXPIRY_GRACE_S, ExpiryGrace


def test_removal_without_an_outage_takes_effect_at_once():
    lapses = ExpiryGrace()
    lapses.observe_store(False, 0.0)
    assert not lapses.observe_removed("a", 10.0)


def test_entries_that_expire_during_an_outage_are_kept():
    # Heartbeats fail while the store is down, and all entries expire.  A router that
    # dropped them would refuse every client until they are written again.
    lapses = ExpiryGrace()
    lapses.observe_store(True, 0.0)
    lapses.observe_store(False, 61.0)
    assert lapses.observe_removed("a", 61.1)
    assert lapses.expire(61.0 + EXPIRY_GRACE_S - 0.1) == []
    assert lapses.expire(61.0 + EXPIRY_GRACE_S) == ["a"]
    assert lapses.expire(100.0) == []


def test_router_refused_by_the_store_does_not_keep_an_entry_for_ever():
    # The store refuses one router and serves the others.  A worker ends, and the router
    # learns of it from a peer.  If it kept the entry until the store answers it again,
    # it would send work to the ended worker for all that time.
    lapses = ExpiryGrace()
    lapses.observe_store(True, 0.0)
    assert lapses.observe_removed("a", 5.0)
    assert lapses.expire(5.0 + EXPIRY_GRACE_S) == ["a"]


def test_list_right_after_an_outage_removes_no_missing_entries():
    lapses = ExpiryGrace()
    lapses.observe_store(True, 0.0)
    lapses.observe_store(False, 5.0)
    assert lapses.observe_removed("a", 5.1)
    lapses.observe_present("a")
    assert lapses.expire(60.0) == []


def test_removal_long_after_an_outage_takes_effect_at_once():
    lapses = ExpiryGrace()
    lapses.observe_store(True, 0.0)
    lapses.observe_store(False, 5.0)
    assert not lapses.observe_removed("a", 5.0 + EXPIRY_GRACE_S)
