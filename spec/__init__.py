"""Model-checking specifications of the core protocol.

``python -m spec`` checks every specification and its broken variants and prints the
states covered. Transitions carry the names of the functions that implement them.
"""
