"""Commands that change contracts, the operators' only way to control the fleet."""

from collections.abc import Callable
from typing import Any, Literal, NamedTuple

from tamarackrill.commands.writes import delete_confirmed, put_confirmed
from tamarackrill.contracts import CONTRACT_KIND, check_contracts
from tamarackrill.differences import Change, find_changes
from tamarackrill.documents import Document
from tamarackrill.exceptions import Finding, FindingsError, NotFound, VersionConflict
from tamarackrill.router.platform_client import PlatformClient
from tamarackrill.store_api import PlatformObject

Outcome = Literal["created", "changed", "unchanged", "deleted"]


class ContractResult(NamedTuple):
    """Result of a command for one contract.

    Parameters
    ----------
    team : str
        Team of the contract, which is also its name.
    outcome : {"created", "changed", "unchanged", "deleted"}
        What the command did.
    version : int
        Current version of the contract.
    changes : tuple of Change
        Fields that differ from the previous version.
    """

    team: str
    outcome: Outcome
    version: int
    changes: tuple[Change, ...] = ()


async def apply_contracts(
    platform: PlatformClient,
    documents: list[Document],
    based_on: int | None = None,
    report: Callable[[ContractResult], None] = lambda result: None,
) -> list[ContractResult]:
    """Write contracts, each only if its version is still the one that was read.

    Parameters
    ----------
    platform : PlatformClient
        Client of the platform.
    documents : list of Document
        One contract each; all are validated before any is written.
    based_on : int, optional
        Version that the operator edited; any other current version is a conflict.
    report : callable, optional
        Called with the result for each contract.

    Returns
    -------
    list of ContractResult

    Raises
    ------
    FindingsError
        If a contract is invalid; nothing was written.
    VersionConflict
        If another operator's change came first.  Contracts reported before it remain
        written.
    PlatformUnavailable
        If it is unknown whether a write took effect.
    """
    contracts = check_contracts(documents)
    listing = await platform.list(CONTRACT_KIND)
    existing = {item.name: item for item in listing.items}
    _check_key_conflicts(documents, existing)
    results = []
    for contract, document in zip(contracts, documents, strict=True):
        current = existing.get(contract.team)
        _check_based_on(contract.team, current, based_on, document.value)
        result = await _apply(platform, contract.team, document.value, current)
        report(result)
        results.append(result)
    return results


async def delete_contract(platform: PlatformClient, team: str) -> ContractResult:
    """Delete a contract only if its version is still the one that was read.

    Raises
    ------
    NotFound
        If the team has no contract.
    VersionConflict
        If another operator's change came first.
    PlatformUnavailable
        If it is unknown whether the deletion took effect.
    """
    current = await platform.get(CONTRACT_KIND, team)
    if current is None:
        raise NotFound(f"there is no contract {team!r}", "see: contract list")
    write_outcome = await delete_confirmed(
        platform, CONTRACT_KIND, team, current.version
    )
    if write_outcome.version is None:
        raise _make_conflict_error(team, current, write_outcome.current)
    return ContractResult(team, "deleted", write_outcome.version)


async def _apply(
    platform: PlatformClient,
    team: str,
    value: dict[str, Any],
    current: PlatformObject | None,
) -> ContractResult:
    changes = find_changes(current.value if current else None, value)
    if current and not changes:
        return ContractResult(team, "unchanged", current.version)
    base_version = current.version if current else None
    write_outcome = await put_confirmed(
        platform, CONTRACT_KIND, team, value, base_version
    )
    if write_outcome.version is None:
        raise _make_conflict_error(team, current, write_outcome.current)
    outcome: Outcome = "changed" if current else "created"
    return ContractResult(team, outcome, write_outcome.version, tuple(changes))


def _check_key_conflicts(
    documents: list[Document], existing: dict[str, PlatformObject]
) -> None:
    """Reject a key that another team already uses, since it must identify one team.

    Two operators who write at the same time can both pass this check before either
    write; the router then attributes the key to one of the two teams.
    """
    written_teams = {document.value["team"] for document in documents}
    key_owners = {
        key_hash: name
        for name, item in existing.items()
        if name not in written_teams
        for key_hash in item.value.get("key_hashes", ())
    }
    findings = [
        Finding(
            document.place(("key_hashes", number)),
            f"same key as the existing contract {key_owners[key_hash]!r}",
        )
        for document in documents
        for number, key_hash in enumerate(document.value["key_hashes"])
        if key_hash in key_owners
    ]
    if findings:
        raise FindingsError(findings)


def _check_based_on(
    team: str,
    current: PlatformObject | None,
    based_on: int | None,
    value: dict[str, Any],
) -> None:
    version = current.version if current else None
    if based_on is None or based_on == version:
        return
    if current is None:
        message = f"{team}: version {based_on} has been deleted"
        raise VersionConflict(message, "apply without --based-on to create it again")
    changes = find_changes(value, current.value)
    raise VersionConflict(
        f"{team}: your change is based on version {based_on}, but version {version} "
        f"is current. Changes from your file to it: {_join_changes(changes)}",
        "merge the changes that you need into your file, then apply with "
        f"--based-on {version}",
    )


def _make_conflict_error(
    team: str, seen: PlatformObject | None, current: PlatformObject | None
) -> VersionConflict:
    if current is None or current.value is None:
        what = "it was deleted"
    else:
        changes = find_changes(seen.value if seen else None, current.value)
        what = f"version {current.version} changed {_join_changes(changes)}"
    return VersionConflict(
        f"{team}: your change was not written; another operator's came first: {what}",
        "check it with 'contract show', then run the command again",
    )


def _join_changes(changes: list[Change]) -> str:
    return "; ".join(change.show() for change in changes) or "nothing"
