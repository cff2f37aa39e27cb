"""Checks every specification and its broken variants."""

import sys

from spec.checks import SPECIFICATIONS, check_variant, check_whole


def main() -> int:
    """Print one line for each check; return 1 if one does not come out as stated."""
    failed = False
    for name, module in SPECIFICATIONS.items():
        for result in check_whole(module):
            failed |= not result.holds
            print(f"{name} {result.property_name} {result.describe()}")
        for variant_name, (variant, property_name) in module.BROKEN.items():
            result = check_variant(module, variant, property_name)
            failed |= result.holds is not False
            print(f"{name} {variant_name} {property_name} {result.describe()}")
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
