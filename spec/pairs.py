"""Pairs of values, one for each of the two VMs of a specification."""


def set_item(pair: tuple, index: int, value: object) -> tuple:
    """Return the pair with one value replaced."""
    return (*pair[:index], value, *pair[index + 1 :])
