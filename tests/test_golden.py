"""Golden files of sessions; ``python tests/test_golden.py`` regenerates them."""

import re
import signal
import sys
from pathlib import Path

import pytest

from tamarackrill.contracts import hash_key
from tamarackrill.decisions.hashing import rendezvous_order
from tamarackrill.testing.engine import CRASH_WORD
from tamarackrill.testing.processes import FleetProcesses, call, wait_for

GOLDEN = Path(__file__).parent / "golden"
CHAT_PATH = "/v1/chat/completions"
KEY = {"Authorization": "Bearer the-key"}
CONTRACT = {
    "format": "tamarackrill/contract/v1",
    "team": "t",
    "key_hashes": [hash_key("the-key")],
    "models": ["m"],
    "services": ["s"],
    "non_idempotent": [{"service": "s", "method": "POST", "path_prefix": "/confirm"}],
}


class Session:
    """Sends requests through two routers, and records the responses.

    The retry time has jitter and the worker that serves a call may differ, so the retry
    time and the number of endpoints are recorded as N.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.lines = []
        self.engines = [fleet.add_engine(f"engine-{number}") for number in range(4)]
        self.worker = fleet.add_service("worker-1")
        self.apply()
        self.routers = {name: fleet.add_router(name) for name in ("a", "b")}
        fleet.wait_ready()

    def apply(self, **fields):
        version = self.fleet.put_contract({**CONTRACT, **fields})
        for router in self.fleet.routers.values():
            router.wait_line(f" kind=contract object=t version={version} ")

    def record(self, title, value):
        self.lines.append(f"# {title}\n{value}\n")

    def ask(self, title, router, path, body=None, **headers):
        names = {name.replace("_", "-"): text for name, text in headers.items()}
        address = self.routers[router].address
        answer = call(address, path, body, headers={**KEY, **names})
        text = re.sub(r'("retry_after_s": )[0-9.]+', r"\1N", answer.body.decode())
        text = re.sub(r"[0-9]+ endpoints", "N endpoints", text)
        self.record(f"{title}, through {router}", f"{answer.status}\n{text}")
        return answer

    def chat(self, title, router, text, stream=False, **headers):
        messages = [{"role": "user", "content": text}]
        body = {"model": "m", "messages": messages, "max_tokens": 3, "stream": stream}
        return self.ask(title, router, CHAT_PATH, body, **headers)

    def confirm(self, title, router, quote, **headers):
        return self.ask(
            title, router, "/services/s/confirm", {"quote": quote}, **headers
        )

    def find_home(self, chat):
        name = rendezvous_order(f"t\n{chat}", list(self.routers), 1)[0]
        other = next(other for other in self.routers if other != name)
        return name, other


def play_returning_chat(session):
    session.chat("first request of a chat", "a", "felt for a crown", Chat_Id="c")
    session.chat("the chat returns", "b", "felt for a brim", Chat_Id="c")
    key = {"Chat_Id": "c", "Idempotency_Key": "k"}
    session.chat("streamed", "a", "straw braid now", True, **key)
    key["Last_Event_ID"] = "1"
    session.chat("the stream from event 1", "b", "straw braid now", True, **key)


def play_confirmation(session):
    session.confirm("without a key", "a", 1)
    session.confirm("confirmed", "a", 1, Idempotency_Key="q-1")
    session.confirm("sent again", "b", 1, Idempotency_Key="q-1")
    session.confirm("the key for another quote", "a", 2, Idempotency_Key="q-1")
    session.fleet.platform.set_faults(outage=True)
    session.confirm("while the platform is down", "a", 3, Idempotency_Key="q-3")
    session.ask("a lookup meanwhile", "b", "/services/s/stock")
    session.fleet.platform.set_faults()

    def is_taken():
        headers = {**KEY, "Idempotency-Key": "q-3"}
        address, path = session.routers["a"].address, "/services/s/confirm"
        return call(address, path, {"quote": 3}, headers=headers).status == 200

    wait_for(is_taken, "the caller comes back until it is confirmed")
    session.confirm("and sent again", "b", 3, Idempotency_Key="q-3")
    arrivals = session.worker.look()["arrivals"]
    session.record("arrivals at the worker", {k: arrivals[k] for k in ("q-1", "q-3")})


def play_order(session):
    for number in (1, 2):
        position = {"Chat_Id": "c", "Chat_Sequence": str(number)}
        session.chat("in order", "ab"[number % 2], f"n {number}", **position)
    session.chat("a place that is taken", "a", "other", Chat_Id="c", Chat_Sequence="2")
    session.chat("a place that has passed", "b", "old", Chat_Id="c", Chat_Sequence="1")
    session.chat("a place far ahead", "a", "far", Chat_Id="c", Chat_Sequence="9999")
    session.chat("the next place", "b", "n 3", Chat_Id="c", Chat_Sequence="3")


def play_poison(session):
    text = f"a pattern {CRASH_WORD}"
    session.chat("a request that crashes its engine", "a", text, Chat_Id="c")
    session.chat("sent again", "b", text, Chat_Id="c")
    session.chat("another request of the team", "a", "a plain pattern")
    ended = sum(engine.is_ended() for engine in session.engines)
    session.record("engines lost", ended)


def play_limits(session):
    session.apply(rate_per_s=0.01, rate_burst=2)
    for number in range(2):
        session.ask(f"lookup {number} of a burst of two", "a", "/services/s/stock")
    session.ask("one more than the contract allows", "a", "/services/s/stock")
    session.apply(rate_per_s=100, rate_burst=100, models=[])
    session.ask("after the contract was changed", "a", "/services/s/stock")
    session.chat("a model that the change took away", "b", "hello")


def play_restart(session):
    home, other = session.find_home("c")
    session.chat("through the home", home, "hello there", Chat_Id="c")
    session.routers[home].send(signal.SIGTERM)
    assert session.routers[home].wait() == 0
    del session.fleet.routers[home]
    session.fleet.publish_vms()
    session.chat("after the home was stopped", other, "hello again", Chat_Id="c")


SESSIONS = {
    "returning-chat": play_returning_chat,
    "confirmation": play_confirmation,
    "order": play_order,
    "poison": play_poison,
    "limits": play_limits,
    "restart": play_restart,
}


def play(name):
    with FleetProcesses() as fleet:
        session = Session(fleet)
        SESSIONS[name](session)
        return "\n".join(session.lines)


@pytest.mark.parametrize("name", list(SESSIONS))
def test_session_is_the_golden_one(name):
    # Guards against unintended changes of what callers receive over a whole session.
    # Routers and stand-ins run as separate processes.
    assert play(name) == (GOLDEN / f"{name}.txt").read_text()


if __name__ == "__main__":
    for name in sys.argv[1:] or SESSIONS:
        (GOLDEN / f"{name}.txt").write_text(play(name))
