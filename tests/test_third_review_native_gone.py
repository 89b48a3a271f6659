"""Callers that leave a native router while their endpoint is silent."""

import time

import pytest

from tamarackrill.testing.processes import call
from test_native_silence import KEY, SilentEndpoint, fleet, register

__all__ = ["fleet"]
# Past the first time-out of a connection, and well before the call's deadline.
SILENCE_S = 2.0
STAYS_S = 0.4


def test_call_whose_caller_has_left_is_not_sent_once_its_endpoint_goes_on(fleet):
    # Guards against endpoints that work for callers which have gone: a call that waits
    # for a silent endpoint is tried again until its deadline.
    with SilentEndpoint() as silent:
        register(fleet, silent.address)
        router = fleet.add_router("a")
        fleet.wait_ready()
        with pytest.raises(TimeoutError):
            call(router.address, "/services/s/look", headers=KEY, timeout_s=STAYS_S)
        time.sleep(SILENCE_S)
        silent.go_on()
        time.sleep(SILENCE_S)
        assert silent.requests == []
