"""``make demo``: routers and stand-ins for their back ends in one process."""

import asyncio
import json
import sys
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from tamarackrill.contracts import CONTRACT_KIND, Endpoint, hash_key
from tamarackrill.logs import set_up_logs
from tamarackrill.router.app import RouterApplication
from tamarackrill.router.platform_client import PlatformClient
from tamarackrill.settings import load_settings
from tamarackrill.testing.daemon import announce, listen
from tamarackrill.testing.engine import EngineState, make_engine
from tamarackrill.testing.platform import PlatformState, make_platform
from tamarackrill.testing.service import ServiceState, make_service

KEY = "demo-key"
ZONE = "caerdydd-a"
CONTRACT = {
    "format": "tamarackrill/contract/v1",
    "team": "weddings",
    "key_hashes": [hash_key(KEY)],
    "models": ["quote-writer"],
    "services": ["booking-desk"],
    "non_idempotent": [
        {"service": "booking-desk", "method": "POST", "path_prefix": "/confirm"}
    ],
}
PROMPT = "Draft a costing for sixty guests, two of them vegan"


async def _ask(
    address: str, path: str, body: Any = None, **headers: str
) -> HTTPResponse:
    request = HTTPRequest(
        f"http://{address}{path}",
        "GET" if body is None else "POST",
        {"Authorization": f"Bearer {KEY}", **headers},
        None if body is None else json.dumps(body),
    )
    return await AsyncHTTPClient().fetch(request, raise_error=False)


async def _start_back_ends(platform: str) -> PlatformClient:
    client = PlatformClient(platform, ZONE, AsyncHTTPClient())
    for name in ("engine-1", "engine-2"):
        _, address = listen(make_engine(EngineState(name, step_s=0.01)))
        await announce(
            client, Endpoint(name, "engine", ("quote-writer",), address, ZONE)
        )
    _, address = listen(make_service(ServiceState("desk-1")))
    await announce(
        client, Endpoint("desk-1", "service", ("booking-desk",), address, ZONE)
    )
    await client.put(CONTRACT_KIND, "weddings", CONTRACT, None)
    return client


async def _start_routers(platform: str, state: PlatformState) -> list[str]:
    routers = []
    for name in ("entry-1", "entry-2"):
        flags = [f"--name={name}", f"--zone={ZONE}", f"--platform={platform}"]
        flags += ["--port=0", "--peer-port=0", "--peer-keys=demo peer key"]
        router = RouterApplication(load_settings(flags, {}))
        await router.start()
        routers.append(router)
    state.vms = [router.describe_vm() for router in routers]
    for router in routers:
        await _wait_ready(router, len(routers))
    return [router.address for router in routers]


async def _wait_ready(router: RouterApplication, members: int) -> None:
    while not router.list_contracts() or len(router.members.list_live()) < members:
        await asyncio.sleep(0.02)


def _show(title: str, response: HTTPResponse) -> None:
    print(f"\n--- {title}: {response.code}\n{response.body.decode()}", flush=True)


async def run_demo() -> None:
    """Start everything, send five requests and print the responses."""
    state = PlatformState()
    _, platform = listen(make_platform(state))
    await _start_back_ends(platform)
    first, second = await _start_routers(platform, state)
    messages = [{"role": "user", "content": PROMPT}]
    chat = {"model": "quote-writer", "messages": messages, "max_tokens": 6}
    path = "/v1/chat/completions"
    _show("a chat", await _ask(first, path, chat, **{"Chat-Id": "smith"}))
    answer = await _ask(second, path, {**chat, "stream": True}, **{"Chat-Id": "smith"})
    _show("the same chat, streamed, through the other router", answer)
    _show("a quick lookup", await _ask(first, "/services/booking-desk/dates"))
    confirm = "/services/booking-desk/confirm"
    key = {"Idempotency-Key": "quote-17"}
    _show("a confirmation", await _ask(first, confirm, {"quote": 17}, **key))
    again = await _ask(second, confirm, {"quote": 17}, **key)
    _show("the same confirmation, sent again through the other router", again)
    print("\nNext: docs/OPERATIONS.md (contracts by task), docs/design/ (why).")


def main() -> int:
    """Run the demo, logging to standard error."""
    set_up_logs("text")
    asyncio.run(run_demo())
    return 0


if __name__ == "__main__":
    sys.exit(main())
