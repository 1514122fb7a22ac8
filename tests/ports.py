"""Ports on loopback that nobody uses now."""

import socket


def free_ports(count):
    held = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports
