"""Entry point of ``python -m lacewingstair.cli``."""

from lacewingstair.cli.main import main

main()
