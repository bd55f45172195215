"""The capnp schema of the messages, and their authentication.

Every message starts with a keyed digest (its seal), so stray or forged bytes
are refused before they are decoded.
"""

from pathlib import Path

import capnp

from rattanloom.keys import Keyring

SCHEMA = capnp.load(str(Path(__file__).with_name("peers.capnp")))
SEAL_BYTES = 8
SEAL_PURPOSE = b"rattan-peers"  # a seal is not valid for another purpose of the keys


class BadMessageError(Exception):
    """The received bytes are not a valid message or have another key's seal."""


class UnsendableError(Exception):
    """The message cannot be encoded or is too large; nothing was sent."""


def seal(keys: Keyring, content: bytes) -> bytes:
    """Return ``content`` with its digest in front."""
    return keys.sign(content, SEAL_BYTES) + content


def unseal(keys: Keyring, message: bytes) -> bytes:
    """Return the content without its digest; raises ``BadMessageError``."""
    signature, content = message[:SEAL_BYTES], message[SEAL_BYTES:]
    if len(signature) < SEAL_BYTES or not keys.verify(content, signature):
        raise BadMessageError("the seal does not match the content")
    return content
