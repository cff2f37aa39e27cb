"""Guards against libraries that a daemon on a metadata store does without.

They are not installed with it there, take memory and delay its start.
"""

import subprocess
import sys

import lacewingstair

PROGRAM = """
import sys
import lacewingstair.process, lacewingstair.sidecar
print(*(name for name in ("jsonschema", "cattrs", "zstandard", "fire")
        if name in sys.modules))
"""


def test_the_sidecar_imports_nothing_that_is_not_installed_with_it():
    done = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True, check=True
    )
    assert done.stdout.split() == []


def test_the_public_names_can_be_imported():
    assert all(getattr(lacewingstair, name) for name in lacewingstair.__all__)
