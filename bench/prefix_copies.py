"""What naming engines to copy from costs a router: ``python bench/prefix_copies.py``.

Simulates the pure module at the engines of today and of the size expected, with the
sessions that one router serves.  The baseline is a placement without the question.
"""

import random
import time
import tracemalloc

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.cache_index import CacheIndex
from tamarackrill.decisions.pools import EndpointPool
from tamarackrill.decisions.prefix_copies import PrefixCopies
from tamarackrill.decisions.prompts import Prefix, PromptPart, list_prefixes
from tamarackrill.decisions.routing import LoadBalancer, PlacementRequest

SIZES = (5, 45, 180, 780)
SESSIONS = 5_135
KINDS = 16
CALLS = 2_000


def make_prompt(kind: int, session: int) -> tuple[Prefix, ...]:
    """Return the beginnings of a session's prompt."""
    parts = [PromptPart(f"kind-{kind % KINDS}", 1000), PromptPart(f"s-{session}", 3000)]
    return list_prefixes(parts)


def measure(engines: int) -> tuple[float, float, float]:
    """Return the time of a placement and of the question, and the memory kept."""
    chance = random.Random(1)
    pool = EndpointPool(
        Endpoint(f"engine-{n}", "engine", ("m",), "h:1", f"z{n % 4}", slots=16)
        for n in range(engines)
    )
    names = list(pool.by_name)
    placement = LoadBalancer(slack=2)
    tracemalloc.start()
    copies = PrefixCopies(CacheIndex())
    copies.observe_endpoints(names, 0.0)
    for number in range(SESSIONS):
        copies.record_send(make_prompt(number, number), chance.choice(names), 1.0)
    kept_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    place_s = ask_s = 0.0
    for number in range(CALLS):
        prompt = make_prompt(number, chance.randrange(2 * SESSIONS))
        began_s = time.process_time()
        choice = placement.choose(
            PlacementRequest(str(number), prompt[0].key), pool, 2.0
        )
        placed_s = time.process_time()
        assert choice is not None
        copies.find_source(prompt, choice.endpoint.name, pool, (), 2.0)
        ask_s += time.process_time() - placed_s
        place_s += placed_s - began_s
    return place_s / CALLS * 1e6, ask_s / CALLS * 1e6, kept_bytes / 1e6


def main() -> None:
    """Print a row for each size."""
    print("engines  placement us  question us  kept MB")
    for engines in SIZES:
        place_us, ask_us, kept_mb = measure(engines)
        print(f"{engines:7}  {place_us:12.0f}  {ask_us:11.0f}  {kept_mb:7.2f}")


if __name__ == "__main__":
    main()
