"""Network distance between VMs; the values are labels of metrics."""

ZONE = "zone"
REGION = "region"
OTHER_REGION = "other_region"
# The peer has not sent its `Hello` yet.
UNKNOWN = "unknown"


def distance(region: str, zone: str, other_region: str, other_zone: str) -> str:
    """Return the distance between two VMs from the region and zone of each."""
    if region != other_region:
        return OTHER_REGION
    return ZONE if zone == other_zone else REGION
