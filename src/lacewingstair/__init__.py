"""Configuration distribution and call routing for a service mesh."""

from lacewingstair.acceptance import Decision, MeshState, fold
from lacewingstair.tickets import Ticket, parse_ticket

__all__ = ["Decision", "MeshState", "Ticket", "fold", "parse_ticket"]
