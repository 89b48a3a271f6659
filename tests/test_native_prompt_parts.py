"""Messages of chats that crash each engine, on the product's own interface."""

import itertools
from typing import NamedTuple

import pytest

from tamarackrill.contracts import hash_key
from tamarackrill.testing.engine import CRASH_PART
from tamarackrill.testing.processes import FleetProcesses, call, wait_for

KEY = {"Authorization": "Bearer the-key"}
CONTRACT = {"team": "t", "key_hashes": [hash_key("the-key")], "models": ["m"]}
PATH = "/v1/chat/completions"
ENGINES = 8
# Engines that may crash before the message is blocked, and one more for each router
# that has a call with it on its way then.
CRASHES_MAX = 5 + 2
SYSTEM = "you are a caterer"
# A blocked message is refused for longer than one that is on trial.
PAUSE_MIN_S = 30.0


class Answer(NamedTuple):
    """What a caller got; the code is empty if the call was served."""

    status: int
    code: str
    retry_after_s: float


def make_chat(*texts):
    messages = [{"role": "user", "content": text} for text in texts]
    return {"model": "m", "messages": messages, "max_tokens": 2}


@pytest.fixture
def fleet():
    with FleetProcesses() as fleet:
        fleet.engines = [fleet.add_engine(f"engine-{i}") for i in range(ENGINES)]
        fleet.put_contract(CONTRACT)
        fleet.add_router("router-1")
        fleet.add_router("router-2")
        fleet.wait_ready()
        yield fleet


def test_message_that_crashes_engines_is_kept_from_them(fleet):
    # Guards against a message in many chats, no two alike, that crashes one engine
    # after another, although sound chats share its team and its first message.
    routers = [router.address for router in fleet.routers.values()]

    guests = itertools.count()

    def ask(number, *texts):
        body = make_chat(SYSTEM, *texts, f"guest {next(guests)}")
        answer = call(routers[number % 2], PATH, body, headers=KEY)
        fields = answer.json()
        retry_after_s = fields.get("retry_after_s", 0.0)
        return Answer(answer.status, fields.get("code", ""), retry_after_s)

    blocked = set()

    def is_blocked():
        for number, router in enumerate(routers):
            assert ask(number, "sound").status in (200, 502)
            answer = ask(number, CRASH_PART)
            if answer.retry_after_s > PAUSE_MIN_S:
                blocked.add(router)
        return len(blocked) == len(routers)

    wait_for(is_blocked, "the message is blocked")
    ended = sum(engine.is_ended() for engine in fleet.engines)
    assert 2 <= ended <= CRASHES_MAX
    for number in range(20):
        assert ask(number, CRASH_PART).code == "prompt_part"
        assert ask(number, "sound").status == 200
    assert sum(engine.is_ended() for engine in fleet.engines) == ended
