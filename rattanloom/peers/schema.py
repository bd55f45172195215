"""The loaded capnp schema, and the seal that messages carry.

Every message starts with a keyed digest, so that stray or forged bytes are
refused before they are decoded.
"""

import hmac
from hashlib import blake2b
from pathlib import Path

import capnp

SCHEMA = capnp.load(str(Path(__file__).with_name("peers.capnp")))
SEAL_BYTES = 8
SEAL_PERSON = b"rattan-peers"


class BadMessageError(Exception):
    """Bytes that are not a message of this deployment."""


class UnsendableError(Exception):
    """A message that has no wire form; nothing was sent."""


def seal_key(ticket_key: str) -> bytes:
    """Return the key of the seals, derived from the deployment's secret."""
    return blake2b(ticket_key.encode(), person=SEAL_PERSON).digest()


def seal(key: bytes, content: bytes) -> bytes:
    """Return ``content`` with its digest in front."""
    return _digest(key, content) + content


def unseal(key: bytes, message: bytes) -> bytes:
    """Return the content, or raise ``BadMessageError``."""
    digest, content = message[:SEAL_BYTES], message[SEAL_BYTES:]
    if not hmac.compare_digest(digest, _digest(key, content)):
        raise BadMessageError("wrong seal")
    return content


def _digest(key: bytes, content: bytes) -> bytes:
    return blake2b(content, key=key, digest_size=SEAL_BYTES).digest()
