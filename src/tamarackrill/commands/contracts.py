"""Commands that change contracts: the only way in which operators act on the fleet."""

from collections.abc import Callable
from typing import Any, Literal, NamedTuple

from tamarackrill.commands.writes import delete_settled, put_settled
from tamarackrill.contracts import CONTRACT_KIND, check_contracts
from tamarackrill.differences import Change, find_changes
from tamarackrill.documents import Document
from tamarackrill.exceptions import Finding, FindingsError, NotFound, VersionConflict
from tamarackrill.router.platform_client import PlatformClient
from tamarackrill.store_api import PlatformObject

Outcome = Literal["created", "changed", "unchanged", "deleted"]


class Applied(NamedTuple):
    """What a command did to one contract.

    Parameters
    ----------
    team : str
        Name of the contract.
    outcome : {"created", "changed", "unchanged", "deleted"}
        What happened.
    version : int
        Version that stands now.
    changes : tuple of Change
        Fields that differ from the version before.
    """

    team: str
    outcome: Outcome
    version: int
    changes: tuple[Change, ...] = ()


async def apply_contracts(
    platform: PlatformClient,
    documents: list[Document],
    based_on: int | None = None,
    report: Callable[[Applied], None] = lambda applied: None,
) -> list[Applied]:
    """Write contracts, each on the condition of the version that was read.

    Parameters
    ----------
    platform : PlatformClient
        The platform.
    documents : list of Document
        One contract each; all are checked before any is written.
    based_on : int, optional
        Version that the operator edited; another one is a conflict.
    report : callable, optional
        Called with each contract that was written.

    Returns
    -------
    list of Applied

    Raises
    ------
    FindingsError
        If a contract is faulty; nothing was written.
    VersionConflict
        If another operator's change came first.  Contracts reported before stand.
    PlatformUnavailable
        If it can't be told whether a write took effect.
    """
    contracts = check_contracts(documents)
    listing = await platform.list(CONTRACT_KIND)
    standing = {item.name: item for item in listing.items}
    _check_keys(documents, standing)
    done = []
    for contract, document in zip(contracts, documents, strict=True):
        current = standing.get(contract.team)
        _check_base(contract.team, current, based_on, document.value)
        applied = await _apply(platform, contract.team, document.value, current)
        report(applied)
        done.append(applied)
    return done


async def delete_contract(platform: PlatformClient, team: str) -> Applied:
    """Delete a contract on the condition of the version that was read.

    Raises
    ------
    NotFound
        If there is none.
    VersionConflict
        If another operator's change came first.
    PlatformUnavailable
        If it can't be told whether the deletion took effect.
    """
    current = await platform.get(CONTRACT_KIND, team)
    if current is None:
        raise NotFound(f"there is no contract {team!r}", "see: contract list")
    written = await delete_settled(platform, CONTRACT_KIND, team, current.version)
    if written.version is None:
        raise _conflict(team, current, written.current)
    return Applied(team, "deleted", written.version)


async def _apply(
    platform: PlatformClient,
    team: str,
    value: dict[str, Any],
    current: PlatformObject | None,
) -> Applied:
    changes = find_changes(current.value if current else None, value)
    if current and not changes:
        return Applied(team, "unchanged", current.version)
    base = current.version if current else None
    written = await put_settled(platform, CONTRACT_KIND, team, value, base)
    if written.version is None:
        raise _conflict(team, current, written.current)
    outcome: Outcome = "changed" if current else "created"
    return Applied(team, outcome, written.version, tuple(changes))


def _check_keys(documents: list[Document], standing: dict[str, PlatformObject]) -> None:
    """Refuse a key that another team holds already: it would name either team.

    Two operators who write at the same moment can still pass this check, each before
    the other's write; the router then takes one of the two teams.
    """
    written = {document.value["team"] for document in documents}
    holders = {
        key_hash: name
        for name, item in standing.items()
        if name not in written
        for key_hash in item.value.get("key_hashes", ())
    }
    findings = [
        Finding(
            document.place(("key_hashes", number)),
            f"same key as the standing contract {holders[key_hash]!r}",
        )
        for document in documents
        for number, key_hash in enumerate(document.value["key_hashes"])
        if key_hash in holders
    ]
    if findings:
        raise FindingsError(findings)


def _check_base(
    team: str,
    current: PlatformObject | None,
    based_on: int | None,
    value: dict[str, Any],
) -> None:
    version = current.version if current else None
    if based_on is None or based_on == version:
        return
    if current is None:
        message = f"{team}: version {based_on} was deleted meanwhile"
        raise VersionConflict(message, "apply without --based-on to create it anew")
    changes = find_changes(value, current.value)
    raise VersionConflict(
        f"{team}: your change is based on version {based_on}, but version {version} "
        f"stands. From your file to it: {_join(changes)}",
        "take what you need of it into your file, then apply with "
        f"--based-on {version}",
    )


def _conflict(
    team: str, seen: PlatformObject | None, current: PlatformObject | None
) -> VersionConflict:
    if current is None or current.value is None:
        what = "it was deleted"
    else:
        changes = find_changes(seen.value if seen else None, current.value)
        what = f"version {current.version} changed {_join(changes)}"
    return VersionConflict(
        f"{team}: another operator came first, and your change does not stand: {what}",
        "look at it with 'contract show', then run the command again",
    )


def _join(changes: list[Change]) -> str:
    return "; ".join(change.show() for change in changes) or "nothing"
