import asyncio
import json

import pytest
from tornado.httpclient import AsyncHTTPClient
from tornado.web import Application

from tamarackrill.router.front import Handler
from tamarackrill.testing.daemon import listen


class _FaultyHandler(Handler):
    def prepare(self):
        return None

    def get(self):
        raise ValueError("a fault of ours")


@pytest.mark.parametrize(
    ("path", "told"),
    [("/faulty", (500, "internal", "unknown")), ("/no", (404, "not_found", "not_run"))],
)
def test_fault_of_ours_is_never_said_not_to_have_run(path, told):
    # The router fails by a fault of its own, perhaps after it sent the call.  A caller
    # that is told "not run" would send its confirmation again under a new key, and
    # the family would be billed twice.
    async def run():
        bound = {"front": None}
        application = Application(
            [("/faulty", _FaultyHandler, bound)],
            default_handler_class=Handler,
            default_handler_args=bound,
            log_function=lambda handler: None,
        )
        server, address = listen(application)
        url = f"http://{address}{path}"
        response = await AsyncHTTPClient().fetch(url, raise_error=False)
        server.stop()
        return response

    response = asyncio.run(run())
    body = json.loads(response.body)
    assert (response.code, body["code"], body["run"]) == told
