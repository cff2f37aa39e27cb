"""Names of metrics as operators see them."""

from prometheus_client import CollectorRegistry


def metric_names(registry: CollectorRegistry) -> list[str]:
    """Return the name of every metric of a registry as ``/metrics`` shows it."""
    return sorted(
        f"{family.name}_total" if family.type == "counter" else family.name
        for family in registry.collect()
    )
