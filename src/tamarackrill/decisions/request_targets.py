"""Which targets of requests can be sent on unchanged."""

import re

# RFC 9112 allows fewer; some clients don't encode brackets or quotes, for example.
_VISIBLE_ASCII = re.compile(r"[\x21-\x7e]+")


def is_sendable(target: str) -> bool:
    """Return whether a target consists of visible ASCII characters."""
    return _VISIBLE_ASCII.fullmatch(target) is not None
