"""Streams between the VMs of the mesh."""
