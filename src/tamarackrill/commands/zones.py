"""Commands that evacuate availability zones and take them back."""

from typing import Literal, NamedTuple

from tamarackrill.commands.writes import delete_confirmed, put_confirmed
from tamarackrill.contracts import EVACUATION_KIND
from tamarackrill.exceptions import NotFound, VersionConflict
from tamarackrill.router.platform_client import PlatformClient

Outcome = Literal["evacuated", "unchanged", "restored"]


class ZoneResult(NamedTuple):
    """Result of a command for one availability zone.

    Parameters
    ----------
    zone : str
        Name of the zone.
    outcome : {"evacuated", "unchanged", "restored"}
        What the command did.
    version : int
        Version of the write, or of the object if nothing was written.
    """

    zone: str
    outcome: Outcome
    version: int


async def evacuate_zone(
    platform: PlatformClient, zone: str, zones: frozenset[str]
) -> ZoneResult:
    """Keep new work away from a zone's endpoints, until `restore_zone`.

    Parameters
    ----------
    platform : PlatformClient
        Client of the platform.
    zone : str
        Name of the zone.
    zones : frozenset of str
        Zones that have endpoints; others are most likely misspelt.

    Raises
    ------
    NotFound
        If the zone has no endpoint.
    VersionConflict
        If another operator evacuated or restored the zone at the same time.
    PlatformUnavailable
        If it is unknown whether the write took effect.
    """
    if zone not in zones:
        known = ", ".join(sorted(zones)) or "none"
        raise NotFound(f"no endpoint is in zone {zone!r}", f"zones: {known}")
    current = await platform.get(EVACUATION_KIND, zone)
    if current is not None:
        return ZoneResult(zone, "unchanged", current.version)
    outcome = await put_confirmed(platform, EVACUATION_KIND, zone, {}, None)
    if outcome.version is None:
        raise _make_conflict_error(zone)
    return ZoneResult(zone, "evacuated", outcome.version)


async def restore_zone(platform: PlatformClient, zone: str) -> ZoneResult:
    """Let a zone's endpoints take new work again.

    Raises
    ------
    NotFound
        If the zone is not evacuated.
    VersionConflict
        If another operator evacuated or restored the zone at the same time.
    PlatformUnavailable
        If it is unknown whether the deletion took effect.
    """
    current = await platform.get(EVACUATION_KIND, zone)
    if current is None:
        raise NotFound(f"zone {zone!r} is not evacuated", "see: zone list")
    outcome = await delete_confirmed(platform, EVACUATION_KIND, zone, current.version)
    if outcome.version is None:
        raise _make_conflict_error(zone)
    return ZoneResult(zone, "restored", outcome.version)


def _make_conflict_error(zone: str) -> VersionConflict:
    return VersionConflict(
        f"{zone}: not written; another operator's change came first",
        "check it with 'zone list', then run the command again",
    )
