"""Peer addresses as text, ``host:port``, and as sockets take them."""


def parse_address(address: str) -> tuple[str, int]:
    """Return the IP number and port of ``host:port``."""
    host, port = address.rsplit(":", 1)
    return host.strip("[]"), int(port)


def format_address(pair: tuple) -> str:
    """Return ``host:port`` of a socket's address."""
    return f"{pair[0]}:{pair[1]}"
