"""Connections of clients and the limits on what they make a process hold."""
