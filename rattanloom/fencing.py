"""Fencing tokens: every request to a worker carries one.

A worker refuses tokens below the highest that it has received. The high bits of a token
identify one ownership of a zone, by one daemon; see ``ownership.records``.
"""

# The low bits, by which a placer raises its token to fence off its own start orders.
RAISE_BITS = 16


def ownership_of(token: int) -> int:
    """Return what identifies the ownership of a zone that a token belongs to."""
    return token >> RAISE_BITS
