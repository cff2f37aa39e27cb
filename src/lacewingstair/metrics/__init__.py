"""Prometheus metrics of both kinds of daemon."""
