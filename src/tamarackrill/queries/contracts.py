"""Queries about contracts."""

from tamarackrill.contracts import CONTRACT_KIND
from tamarackrill.exceptions import NotFound
from tamarackrill.router.platform_client import PlatformClient
from tamarackrill.store_api import PlatformObject


async def get_contract(platform: PlatformClient, team: str) -> PlatformObject:
    """Return the current contract of a team.

    Raises
    ------
    NotFound
        If the team has no contract.
    PlatformUnavailable
        If the platform did not answer.
    """
    contract = await platform.get(CONTRACT_KIND, team)
    if contract is None:
        raise NotFound(f"there is no contract {team!r}", "see: contract list")
    return contract


async def list_contracts(platform: PlatformClient) -> list[PlatformObject]:
    """Return all contracts, sorted by team."""
    listing = await platform.list(CONTRACT_KIND)
    return sorted(listing.items, key=lambda item: item.name)
