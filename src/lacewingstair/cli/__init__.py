"""Command-line tool for operators."""

from lacewingstair.cli.main import main

__all__ = ["main"]
