"""Calls: their accounts, attempts, retries and ends."""
