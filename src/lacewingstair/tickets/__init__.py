"""Tickets: their types, parsing, acceptance, and the state that follows from them."""
