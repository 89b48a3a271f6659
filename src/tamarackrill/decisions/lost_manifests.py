"""Choice of the router from which to read a manifest that the store has lost.

Load pattern: the store comes back from a copy while routers start.  Routers that ran
keep the manifest in force that the copy lacks, until the operator has written it again.
One that starts reads the copy's, and would serve by routes and keys of before.

The store's manifest may also be one that can't be read, as another program has written
it.  Routers that ran keep the one before; one that starts has none.

In the same era the store's own manifest counts, unless the other router knows that it
is older than the one in force: otherwise each start would read a large manifest twice.
"""

from typing import NamedTuple


class ToldManifest(NamedTuple):
    """What a router tells of the manifest that is in force there.

    Parameters
    ----------
    version : int, default=0
        Version that the operator has given it; 0 if there is none.
    era : int, default=0
        Era of the store there.
    is_lost : bool, default=False
        Whether the store of that era has an older one, or one that can't be read.
    """

    version: int = 0
    era: int = 0
    is_lost: bool = False


class LostManifests:
    """Manifests of other routers, which this one's store may have lost."""

    def __init__(self) -> None:
        self._told: dict[str, ToldManifest] = {}

    def observe(self, address: str, told: ToldManifest) -> None:
        """Record what the router at an address tells."""
        self._told[address] = told

    def remove(self, address: str) -> None:
        """Forget a router that has not sent its manifest."""
        self._told.pop(address, None)

    def choose(self, version: int, era: int, is_unreadable: bool = False) -> str | None:
        """Return the address of the router to read from.

        Parameters
        ----------
        version : int
            Version of the manifest in force here; 0 if there is none yet.
        era : int
            Era of the store here.
        is_unreadable : bool, default=False
            Whether the store's manifest can't be read.

        Returns
        -------
        str or None
            None if no router has a newer manifest that the store has lost.
        """
        if not version and not is_unreadable:
            return None
        has_none = not version
        newer = {
            address: told.version
            for address, told in self._told.items()
            if told.version > version and (has_none or told.is_lost or told.era < era)
        }
        return max(newer, key=lambda address: newer[address], default=None)
