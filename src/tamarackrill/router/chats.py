"""Order within a chat and answers kept for resends, at the home router."""

from tamarackrill.router.calls import Call
from tamarackrill.router.replies import Reply


class Chats:
    """Replies by the identity under which a caller may ask again."""

    def __init__(self) -> None:
        self._replies: dict[tuple[str, str], Reply] = {}

    def find(self, call: Call, now_s: float) -> Reply | None:
        """Return the reply that a resend joins, or None for a new call.

        Raises
        ------
        Refusal
            If the key was used for another request, or the sequence goes back.
        """
        return self._replies.get((call.team, call.key)) if call.key else None

    def register(self, call: Call, reply: Reply, now_s: float) -> None:
        """Remember the reply of a new call."""
        if call.key:
            self._replies[call.team, call.key] = reply

    async def wait_turn(self, call: Call, now_s: float) -> None:
        """Return when the calls before this one in its chat are over.

        Raises
        ------
        Refusal
            If the turn does not come before the deadline.
        """

    def close(self, call: Call, reply: Reply, now_s: float) -> None:
        """Let the next call of the chat go, and keep or forget the reply."""
        if call.key and not reply.is_whole:
            self._replies.pop((call.team, call.key), None)
