"""Links of one router to endpoints, which can be cut while all else is reached."""

import asyncio
from collections.abc import Iterable
from typing import Literal

from soak.faults import Proxy
from tamarackrill.router.channels import Channel, open_channel

CutMode = Literal["silent", "reset", "new"]


class EndpointLinks:
    """Connections of one router to endpoints, through proxies of its own.

    Attributes
    ----------
    mode : str
        ``""`` while connected; ``"silent"`` if open connections hang and new ones time
        out; ``"reset"`` if open ones were reset and new ones are refused; ``"new"`` if
        open ones live on and new ones are refused.
    is_direct : bool
        Whether connections bypass the proxies, so that those to an endpoint that has
        ended are refused.  Open ones can't be cut then.
    """

    def __init__(self) -> None:
        self.is_direct = False
        self.mode: CutMode | Literal[""] = ""
        self._cut: frozenset[str] = frozenset()
        self._proxies: dict[str, Proxy] = {}

    async def connect(self, address: str, timeout_s: float) -> Channel:
        """Connect to an endpoint; see `open_channel`."""
        if address in self._cut:
            if self.mode != "silent":
                raise ConnectionRefusedError("link is cut")
            await asyncio.sleep(timeout_s)
            raise TimeoutError
        if self.is_direct:
            return await open_channel(address, timeout_s)
        proxy = self._proxies.get(address)
        if proxy is None:
            proxy = self._proxies[address] = Proxy(address)
            await proxy.start()
        return await open_channel(proxy.address, timeout_s)

    def cut(self, mode: CutMode, addresses: Iterable[str]) -> None:
        """Cut the router off from endpoints."""
        self.mode = mode
        self._cut = frozenset(addresses)
        for address in self._cut & self._proxies.keys():
            if mode == "silent":
                self._proxies[address].mode = "silence"
            elif mode == "reset":
                self._proxies[address].reset()

    def restore(self) -> None:
        """End the cut."""
        self.mode = ""
        self._cut = frozenset()
        for proxy in self._proxies.values():
            proxy.mode = "pass"

    async def stop(self) -> None:
        """Close all connections."""
        for proxy in self._proxies.values():
            await proxy.stop()
