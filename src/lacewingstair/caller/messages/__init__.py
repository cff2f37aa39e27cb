"""Heads and bodies of requests and responses."""
