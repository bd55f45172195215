"""Keys of a deployment: one that signs, and others still accepted.

To replace a key without refusing anything, operators first let every host
accept the new one, then let every host sign with it, and take the old one out
once nothing signed by it is in use (see docs/OPERATIONS.md).
"""

import hmac
from hashlib import blake2b

from attrs import evolve, field, frozen


@frozen
class Keyring:
    """Signs with ``signing`` and accepts also what ``accepted`` have signed.

    ``purpose`` keeps signatures made for one use from being taken for another
    (at most 16 bytes).
    """

    signing: bytes
    accepted: tuple[bytes, ...] = ()
    purpose: bytes = field(default=b"", kw_only=True)

    def for_purpose(self, purpose: bytes) -> "Keyring":
        """Return the same keys for another use."""
        return evolve(self, purpose=purpose)

    def sign(self, content: bytes, size_bytes: int) -> bytes:
        """Return a signature of the given size."""
        return self._digest(self.signing, content, size_bytes)

    def verify(self, content: bytes, signature: bytes) -> bool:
        """Say whether any accepted key made the signature."""
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
    """Return the keyring of a settings file."""
    return Keyring(signing.encode(), tuple(key.encode() for key in accepted))
