"""The operators' command line."""

from collections.abc import Sequence


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line and return its exit code."""
    raise NotImplementedError
