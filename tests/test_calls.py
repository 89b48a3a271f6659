import pytest

from tamarackrill.contracts import Contract
from tamarackrill.router.calls import CHAT_PATH, read_call

CONTRACT = Contract("t", ("0" * 64,), ("m",), priority=3)
BODY = b'{"model": "m", "messages": [{"role": "user", "content": "x"}]}'


@pytest.mark.parametrize(
    ("headers", "priority"), [({}, 3), ({"Request-Priority": "0"}, 0)]
)
def test_priority_defaults_to_that_of_the_contract(headers, priority):
    call = read_call(CONTRACT, "POST", CHAT_PATH, headers, BODY, 0.0)
    assert call.priority == priority
