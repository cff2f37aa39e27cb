"""Starts the daemon from a checkout, with its libraries installed beside it."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from lacewingstair.entry import main

if __name__ == "__main__":
    main()
