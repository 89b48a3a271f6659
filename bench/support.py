"""What the benches of the daemon share: a contract without limits, streams, CPU."""

import asyncio
import json
import os
from collections.abc import Mapping

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from tamarackrill.contracts import CONTRACT_FORMAT, hash_key
from tamarackrill.testing.processes import RouterProcess

KEY = {"Authorization": "Bearer the-key"}
CHAT_PATH = "/v1/chat/completions"
# Limits far above any load of a bench, so that none of them is what is measured.
CONTRACT = {
    "format": CONTRACT_FORMAT,
    "team": "t",
    "key_hashes": [hash_key("the-key")],
    "models": ["m"],
    "services": ["s"],
    "rate_per_s": 100000,
    "rate_burst": 100000,
    "in_flight_max": 10000,
    "tokens_per_s": 10000000,
    "tokens_burst": 10000000,
}
STREAM_TIMEOUT_S = 120


def read_cpu_s(router: RouterProcess) -> float:
    """Return the processor time that a router has used."""
    with open(f"/proc/{router.pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def stream_events(
    address: str,
    streams: int,
    events: int,
    headers: Mapping[str, str] | None = None,
) -> int:
    """Read streams at once and return the events received.

    Parameters
    ----------
    address : str
        ``host:port`` of a router.
    streams : int
        How many at once.
    events : int
        Events of each.
    headers : mapping of str to str, optional
        Sent besides the key.
    """
    client = CurlAsyncHTTPClient(force_instance=True, max_clients=streams)
    messages = [{"role": "user", "content": "one two"}]
    chat = {"model": "m", "messages": messages, "max_tokens": events, "stream": True}
    request = HTTPRequest(
        f"http://{address}{CHAT_PATH}",
        "POST",
        {**KEY, **(headers or {})},
        json.dumps(chat),
        request_timeout=STREAM_TIMEOUT_S,
    )
    answers = await asyncio.gather(*(client.fetch(request) for _ in range(streams)))
    client.close()
    return sum(answer.body.count(b"id: ") for answer in answers)
