"""Limits of a team over the whole fleet, while each router sees a sliver of it.

`TeamUsage` is the entry that routers exchange; the gossip task carries lists of
it without reading them.
"""

from typing import Literal, NamedTuple

UsageScope = Literal["router", "zone", "fleet"]

# Upper bound of one encoded entry: a name of 24 bytes, an origin of 12 bytes, one
# byte of scope, three numbers of 4 bytes and the framing of thrift's compact form.
USAGE_ENTRY_BYTES = 60


class TeamUsage(NamedTuple):
    """What one router, one zone or the whole fleet was asked for by a team.

    Parameters
    ----------
    team : str
        Name of the team.
    scope : {"router", "zone", "fleet"}
        Whose usage this is: reports go from router to home, sums between the
        homes of the zones, and the fleet's sum back to the routers.
    origin : str
        Name of the router or zone that the figures belong to.
    requests_per_s : float
        Requests offered a second, refused ones included.
    tokens_per_s : float
        Tokens charged a second.
    in_flight : int
        Requests waiting or at endpoints.
    """

    team: str
    scope: UsageScope
    origin: str
    requests_per_s: float
    tokens_per_s: float
    in_flight: int
