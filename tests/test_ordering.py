import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamarackrill.decisions import ordering
from tamarackrill.decisions.ordering import Arrived, Ended, OutOfOrder, Started

CHAT = "co-op\npattern"
DEADLINE_S = 30.0


class Home:
    """One chat at its home router, with a request named after each sequence."""

    def __init__(self):
        self.order = ordering.ChatOrder()

    def arrive(self, sequence, now_s=0.0, name=""):
        request = name or f"r{sequence}"
        message = Arrived(request, CHAT, sequence, DEADLINE_S)
        return ordering.handle_arrival(self.order, message, now_s)

    def end(self, sequence, ran=True, now_s=0.0):
        return ordering.handle_end(self.order, Ended(f"r{sequence}", CHAT, ran), now_s)

    def wait(self, now_s):
        return ordering.handle_timeouts(self.order, now_s)


@given(st.permutations(range(1, 7)))
def test_requests_run_one_at_a_time_in_the_order_asked(arrivals):
    # A caller sends six requests of a chat through six routers. Without ordering the
    # engine could answer the last question before it has seen the first.
    home = Home()
    ran = []
    actions = [action for n in arrivals for action in home.arrive(n)]
    while actions:
        (started,) = actions
        ran.append(started.request)
        actions = home.end(int(started.request[1:]))
    assert ran == [f"r{n}" for n in range(1, 7)]


def test_new_home_resumes_at_the_lowest_sequence_received():
    # The chat's home was replaced and its state lost. The chat continues at the lowest
    # sequence that arrives within the wait.
    home = Home()
    assert home.arrive(8) == [] == home.arrive(7)
    assert ordering.next_due_s(home.order) == ordering.NEW_CHAT_WAIT_S
    assert home.wait(ordering.NEW_CHAT_WAIT_S) == [Started("r7")]
    assert home.end(7) == [Started("r8")]


def test_refused_request_keeps_its_place():
    home = Home()
    assert home.arrive(1) == [Started("r1")]
    assert home.arrive(2) == []
    assert home.end(1, ran=False) == []
    assert home.arrive(1) == [Started("r1")]
    assert home.end(1) == [Started("r2")]


def test_requests_after_a_gap_time_out():
    home = Home()
    home.arrive(1)
    home.arrive(3)
    home.arrive(2)
    assert home.wait(ordering.GAP_WAIT_S + 1) == []  # waits for the running one
    home.end(1, now_s=7.0)
    home.end(2, now_s=7.0, ran=False)
    due_s = ordering.next_due_s(home.order)
    assert due_s == 7.0 + ordering.GAP_WAIT_S
    gap = OutOfOrder("r3", "sequence_gap", "not_run", ordering.RETRY_AFTER_S)
    assert home.wait(due_s) == [gap]
    assert ordering.next_due_s(home.order) is None


@pytest.mark.parametrize(
    ("sequence", "code", "run"),
    [
        (1, "sequence_passed", "unknown"),
        (2, "sequence_taken", "not_run"),
        (3, "sequence_taken", "not_run"),
        (2 + ordering.SEQUENCE_WINDOW, "sequence_skipped", "not_run"),
    ],
)
def test_invalid_sequence_is_refused_at_once(sequence, code, run):
    home = Home()
    home.arrive(1)
    home.end(1)
    home.arrive(2)
    home.arrive(3)
    (refused,) = home.arrive(sequence, name="other")
    assert (refused.code, refused.run) == (code, run)
    assert home.end(2) == [Started("r3")]


def test_waiting_request_ends_at_its_deadline_or_when_cancelled():
    home = Home()
    home.arrive(1)
    home.arrive(2)
    home.arrive(3)
    assert home.end(3) == []
    (refused,) = home.wait(DEADLINE_S)
    assert (refused.request, refused.code) == ("r2", "deadline_passed")


def test_number_of_chats_is_bounded(monkeypatch):
    monkeypatch.setattr(ordering, "CHATS_MAX", 3)
    order = ordering.ChatOrder()
    for number in range(10):
        message = Arrived("r", f"chat-{number}", 1, DEADLINE_S)
        ordering.handle_arrival(order, message, 0.0)
        ordering.handle_end(order, Ended("r", f"chat-{number}", True), 0.0)
    assert list(order.chats) == ["chat-7", "chat-8", "chat-9"]
