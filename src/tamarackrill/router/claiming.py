"""Claims non-idempotent calls on the platform before they are sent."""

from tamarackrill.exceptions import Refusal
from tamarackrill.router.calls import Call


class Claimer:
    """Owns the claims of this router."""

    async def claim(self, call: Call, now_s: float) -> None:
        """Return when the call may be sent.

        Raises
        ------
        Refusal
            ``unknown`` if another attempt holds the claim, ``not_run`` if no
            claim can be made.
        """
        if not call.idempotent:
            raise Refusal("claims_missing", 503, "claims are not built yet")

    def check(self, call: Call, now_s: float) -> None:
        """Raise a refusal if a claim that was granted is too old to send on."""

    async def settle(self, call: Call, answered: bool, now_s: float) -> None:
        """Record on the platform how a claimed call ended."""
