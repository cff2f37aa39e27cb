"""How far two VMs are from each other, as operators see it in metrics."""

ZONE = "zone"
REGION = "region"
OTHER_REGION = "other_region"
# Connections whose other end has not introduced itself.
UNKNOWN = "unknown"


def distance(region: str, zone: str, other_region: str, other_zone: str) -> str:
    """Return the distance between two places, each a region and its zone."""
    if region != other_region:
        return OTHER_REGION
    return ZONE if zone == other_zone else REGION
