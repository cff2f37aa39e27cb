"""Measurements: ``python -m bench NAME [--key=value ...]``."""
