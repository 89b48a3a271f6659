"""Run the operators' command line with ``python -m tamarackrill``."""

import sys

from tamarackrill.cli import main

if __name__ == "__main__":
    sys.exit(main())
