"""Certificates of the system, which are loaded only where they are needed."""

import os
import ssl
import subprocess
import sys

from lacewingstair.tls import no_certificates, verification_of

PROGRAM = """
import gc
from unittest import mock
from lacewingstair import entry, process

def show(sockets_by_address):
    from aiohttp import connector
    print(connector._SSL_CONTEXT_VERIFIED.cert_store_stats()["x509"], gc.isenabled())

with mock.patch.object(process, "main", show):
    entry.main()
"""


def test_a_start_loads_no_certificates_and_collects_no_garbage():
    """Guards against a start that takes a sixth longer for certificates."""
    done = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True, check=True
    )
    assert done.stdout.split() == ["0", "False"]


def test_the_variable_of_the_environment_is_put_back(monkeypatch):
    """Guards against TLS connections that never find a certificate."""
    for value in ("/etc/own.pem", None):
        if value is None:
            monkeypatch.delenv("SSL_CERT_FILE", raising=False)
        else:
            monkeypatch.setenv("SSL_CERT_FILE", value)
        with no_certificates():
            assert os.environ["SSL_CERT_FILE"] == os.devnull
        assert os.environ.get("SSL_CERT_FILE") == value


def test_a_url_with_https_is_verified_with_the_certificates_of_the_system():
    context = verification_of("https://log.example")
    assert context.verify_mode is ssl.CERT_REQUIRED
    assert context.check_hostname
    assert verification_of("http://log.example") is True
