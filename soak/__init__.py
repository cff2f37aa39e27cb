"""Randomized soak: the real programs as processes, with faults from outside of them."""
