"""Entry point of `python -m aspenrill`: runs one front end."""

import sys

from .start import main

if __name__ == "__main__":
    sys.exit(main())
