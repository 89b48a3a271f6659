"""``python -m tamarackrill`` is the operators' command line."""

import sys

from tamarackrill.cli import main

if __name__ == "__main__":
    sys.exit(main())
