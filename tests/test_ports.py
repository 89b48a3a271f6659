import random
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from tamarackrill.testing.ports import FIRST_PORT, find_free_port, release_ports

LOCAL_PORTS = Path("/proc/sys/net/ipv4/ip_local_port_range")
IN_ANOTHER_PROCESS = """
import random
from tamarackrill.testing.ports import find_free_port
chance = random.Random(7)
print(*(find_free_port(chance) for _ in range(20)))
"""


def test_port_of_a_router_is_given_to_no_outgoing_connection():
    # A router process is killed and started again. Meanwhile a connection of a caller
    # was given the router's port as its own local one, and the router never came back:
    # its callers found nobody.
    first_local_port = int(LOCAL_PORTS.read_text().split()[0])
    assert find_free_port() < first_local_port


def test_two_test_processes_are_given_no_port_in_common():
    # Two test processes that run side by side find the same port free, both start a
    # router on it, and one of the two routers ends at once.
    chance = random.Random(7)
    ours = {find_free_port(chance) for _ in range(20)}
    command = [sys.executable, "-c", IN_ANOTHER_PROCESS]
    theirs = subprocess.run(command, check=True, capture_output=True, text=True).stdout
    assert not ours & {int(port) for port in theirs.split()}


def test_port_in_use_is_not_given():
    chance = random.Random(8)
    port = find_free_port(random.Random(8))
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", port))
        assert find_free_port(chance) != port


def test_ports_of_ended_tests_are_found_again():
    # Guards against long test runs that use up all ports, at which those beside them
    # fail.
    with release_ports():
        port = find_free_port()

    class Always(random.Random):
        def randrange(self, stop):
            return port - FIRST_PORT

    for _ in range(2):
        with release_ports():
            assert find_free_port(Always()) == port
            with pytest.raises(OSError, match="no free port"):
                find_free_port(Always())
