import pytest

from tamarackrill.decisions.leaving import LeavingEndpoints, LeavingReport

SOURCES = ("vm_list", "endpoint", "object")


@pytest.mark.parametrize("source", SOURCES)
def test_any_source_stops_new_work_and_lagging_ones_do_not_undo_it(source):
    # An endpoint is drained, and one of three sources reports it first.  If a lagging
    # source overrode it, requests would be sent there until the endpoint is removed.
    leaving = LeavingEndpoints()
    assert leaving.observe(LeavingReport("e", source, True))
    for other in SOURCES:
        if other != source:
            assert not leaving.observe(LeavingReport("e", other, False))
    assert leaving.is_leaving("e")
    assert leaving.observe(LeavingReport("e", source, False))
    assert not leaving.is_leaving("e")


def test_late_report_on_the_previous_process_is_ignored():
    # The endpoint has restarted, and a late report on its previous process arrives.  If
    # it counted, the endpoint would stay idle while its pool's callers are queued.
    leaving = LeavingEndpoints()
    leaving.observe(LeavingReport("e", "endpoint", True, incarnation=1))
    assert leaving.observe(LeavingReport("e", "endpoint", False, incarnation=2))
    assert not leaving.observe(LeavingReport("e", "object", True, incarnation=1))
    assert not leaving.is_leaving("e")


def test_removed_endpoint_is_forgotten():
    leaving = LeavingEndpoints()
    leaving.observe(LeavingReport("e", "vm_list", True, incarnation=5))
    leaving.remove("e")
    assert leaving.observe(LeavingReport("e", "object", True, incarnation=1))
