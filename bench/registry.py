"""Registry of measurements, filled by the decorator ``benchmarks.register``."""

from collections.abc import Callable

from lacewingstair.registry import Registry

benchmarks: Registry[Callable[..., None]] = Registry("benchmark")
