"""Announcements of backend servers and connections to them."""
