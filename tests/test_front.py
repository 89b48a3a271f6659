import asyncio
import json

import pytest
from tornado.httpclient import AsyncHTTPClient
from tornado.web import Application

from tamarackrill.router.front import FrontHandler
from tamarackrill.testing.daemon import listen


class _FaultyHandler(FrontHandler):
    def prepare(self):
        return None

    def get(self):
        raise ValueError("internal error")


@pytest.mark.parametrize(
    ("path", "expected"),
    [("/faulty", (500, "internal", "unknown")), ("/no", (404, "not_found", "not_run"))],
)
def test_internal_error_is_never_reported_as_not_run(path, expected):
    # A handler raises an exception, perhaps after the call was sent.  A caller that is
    # told "not_run" would send its confirmation again under a new key, and a family
    # would be billed twice.
    async def run():
        bound = {"front": None}
        application = Application(
            [("/faulty", _FaultyHandler, bound)],
            default_handler_class=FrontHandler,
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
    assert (response.code, body["code"], body["run"]) == expected
