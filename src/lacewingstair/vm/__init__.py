"""Mesh of VMs: links, membership, dissemination, and calls between VMs."""
