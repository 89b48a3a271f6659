import pytest

from tamarackrill.decisions.leaving import LeavingEndpoints, LeavingReport

SOURCES = ("vm_list", "endpoint", "object")


@pytest.mark.parametrize("source", SOURCES)
def test_any_source_stops_new_work_and_late_ones_do_not_undo_it(source):
    # An endpoint is drained, and one of three sources says so first.  Were another,
    # later one believed, callers would be sent to it until it is taken away.
    leaving = LeavingEndpoints()
    assert leaving.observe(LeavingReport("e", source, True))
    for other in SOURCES:
        if other != source:
            assert not leaving.observe(LeavingReport("e", other, False))
    assert leaving.is_leaving("e")
    assert leaving.observe(LeavingReport("e", source, False))
    assert not leaving.is_leaving("e")


def test_new_start_is_not_held_by_news_of_the_one_before():
    # The endpoint has restarted, and late news of its end arrives.  Believed, it would
    # stay idle while the callers of its pool queue for the rest.
    leaving = LeavingEndpoints()
    leaving.observe(LeavingReport("e", "endpoint", True, incarnation=1))
    assert leaving.observe(LeavingReport("e", "endpoint", False, incarnation=2))
    assert not leaving.observe(LeavingReport("e", "object", True, incarnation=1))
    assert not leaving.is_leaving("e")


def test_removed_endpoint_leaves_no_trace():
    leaving = LeavingEndpoints()
    leaving.observe(LeavingReport("e", "vm_list", True, incarnation=5))
    leaving.remove("e")
    assert leaving.observe(LeavingReport("e", "object", True, incarnation=1))
