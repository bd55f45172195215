"""Conversion of peer addresses between ``host:port`` text and socket pairs."""


def parse_address(address: str) -> tuple[str, int]:
    """Return the IP address and port of ``host:port``; IPv6 may be in brackets."""
    host, port = address.rsplit(":", 1)
    return host.strip("[]"), int(port)


def format_address(pair: tuple) -> str:
    """Return ``host:port`` of a socket's (IP address, port) pair."""
    return f"{pair[0]}:{pair[1]}"
