"""Queries about contracts."""

from tamarackrill.contracts import CONTRACT_KIND
from tamarackrill.exceptions import NotFound
from tamarackrill.router.platform_client import PlatformClient
from tamarackrill.store_api import PlatformObject


async def get_contract(platform: PlatformClient, team: str) -> PlatformObject:
    """Return the contract of a team as it stands.

    Raises
    ------
    NotFound
        If there is none.
    PlatformUnavailable
        If the platform did not answer.
    """
    found = await platform.get(CONTRACT_KIND, team)
    if found is None:
        raise NotFound(f"there is no contract {team!r}", "see: contract list")
    return found


async def list_contracts(platform: PlatformClient) -> list[PlatformObject]:
    """Return all contracts, by team."""
    listing = await platform.list(CONTRACT_KIND)
    return sorted(listing.items, key=lambda item: item.name)
