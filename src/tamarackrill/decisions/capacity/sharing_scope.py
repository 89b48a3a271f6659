"""For which services the capacity is shared, and how much weight a team has.

Load pattern: deployments whose endpoints have machines of their own, next to ones whose
machines are shared.  The former are served well without an allocator, and a message for
each call would only cost them; in the latter the slots don't state the capacity.  An
endpoint of a shared machine says so with the slowdown in its load.
"""

from typing import Literal

SharingMode = Literal["auto", "on", "off"]
SHARING_MODES: tuple[SharingMode, ...] = ("auto", "on", "off")
# Weights by the team's priority, and of one that has none.
_WEIGHTS = (2.0, 1.0)
_WEIGHT_LOW = 0.5
_WEIGHT_DEFAULT = 1.0


def weigh_team(priority: int | None) -> float:
    """Return a team's weight in the shares of a plain service's capacity.

    Parameters
    ----------
    priority : int or None
        Priority of the team in the manifest, 0 is the highest; None without one.
    """
    if priority is None:
        return _WEIGHT_DEFAULT
    if priority >= len(_WEIGHTS):
        return _WEIGHT_LOW
    return _WEIGHTS[max(0, priority)]


class SharingScope:
    """Services whose capacity is shared by allocators.

    Parameters
    ----------
    mode : {"auto", "on", "off"}
        Setting of the operator.
    has_slow_peers : bool
        Whether the deployment's special conditions include slow clients and workers.
    """

    def __init__(self, mode: SharingMode, has_slow_peers: bool) -> None:
        self._has_all = mode == "on" or (mode == "auto" and has_slow_peers)
        self._is_off = mode == "off"
        self._services: set[str] = set()

    def observe_slowdown(self, service: str) -> None:
        """Record that an endpoint of a service has reported its slowdown."""
        self._services.add(service)

    def includes(self, service: str) -> bool:
        """Return whether the capacity of a plain service is shared."""
        return not self._is_off and (self._has_all or service in self._services)
