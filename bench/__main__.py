"""Command line of the measurements."""

import importlib
import pkgutil

import fire

import bench
from bench.registry import benchmarks

_SUPPORT_MODULES = ("registry", "results", "__main__")


def main() -> None:
    """Load every module of the package and run the measurement named."""
    for module in pkgutil.iter_modules(bench.__path__):
        if module.name not in _SUPPORT_MODULES:
            importlib.import_module(f"bench.{module.name}")
    fire.Fire({name: benchmarks.get(name) for name in benchmarks}, name="bench")


if __name__ == "__main__":
    main()
