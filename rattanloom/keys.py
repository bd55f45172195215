"""Signing keys of a deployment: one that signs, and others that are accepted.

To rotate a key without invalidating signatures, operators make every host
accept the new key, then make every host sign with it, and remove the old key
once nothing signed with it is in use (see docs/OPERATIONS.md).
"""

import hmac
from hashlib import blake2b

from attrs import evolve, field, frozen


@frozen
class Keyring:
    """Signs with ``signing``; verifies with it and with the ``accepted`` keys.

    ``purpose`` (at most 16 bytes) makes a signature for one use invalid for
    another.
    """

    signing: bytes
    accepted: tuple[bytes, ...] = ()
    purpose: bytes = field(default=b"", kw_only=True)

    def for_purpose(self, purpose: bytes) -> "Keyring":
        """Return the same keys for another purpose."""
        return evolve(self, purpose=purpose)

    def sign(self, content: bytes, size_bytes: int) -> bytes:
        """Return a signature of ``size_bytes``."""
        return self._digest(self.signing, content, size_bytes)

    def verify(self, content: bytes, signature: bytes) -> bool:
        """Return whether the signing key or an accepted key made the signature."""
        return any(
            hmac.compare_digest(
                self._digest(key, content, len(signature) or 1), signature
            )
            for key in (self.signing, *self.accepted)
        )

    def _digest(self, key: bytes, content: bytes, size_bytes: int) -> bytes:
        digest = blake2b(content, key=key, digest_size=size_bytes, person=self.purpose)
        return digest.digest()


def make_keyring(signing: str, accepted: tuple[str, ...]) -> Keyring:
    """Return the keyring for keys given as text in the settings."""
    return Keyring(signing.encode(), tuple(key.encode() for key in accepted))
