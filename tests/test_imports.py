"""Guards against libraries that a daemon on a metadata store does without.

They are not installed with it there, take memory and delay its start.
"""

import subprocess
import sys
from pathlib import Path

import lacewingstair

REQUIREMENTS = Path(__file__).parent.parent / "deploy/requirements.txt"
PROGRAM = """
import sys
import lacewingstair.process, lacewingstair.sidecar
from importlib.metadata import packages_distributions
found = packages_distributions()
names = {module.partition(".")[0] for module in sys.modules}
print(*sorted({d for name in names for d in found.get(name, ()) if name in found}))
"""


def test_the_sidecar_imports_nothing_that_is_not_installed_with_it():
    done = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True, check=True
    )
    imported = {name.lower().replace("_", "-") for name in done.stdout.split()}
    lines = REQUIREMENTS.read_text("utf-8").splitlines()
    installed = {
        line.partition("==")[0].replace("_", "-") for line in lines if line[0] != "#"
    }
    own = {"lacewingstair", "setuptools"}
    assert {"aiohttp", "msgpack"} <= imported
    assert imported - installed - own == set()
    # None is needed there, and each takes memory and time at the start.
    unneeded = {"jsonschema", "cattrs", "fire", "aiomisc", "prometheus-client"}
    assert imported & unneeded == set()


def test_the_public_names_can_be_imported():
    assert all(getattr(lacewingstair, name) for name in lacewingstair.__all__)
