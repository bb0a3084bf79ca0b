"""Lookup of a caller's key by the digests of all valid keys."""

import hashlib
import hmac
from collections.abc import Iterable

from sequoiaseam._tables import KeyRecord


def compute_digest(token: str) -> bytes:
    """Return the SHA-256 digest under which a key is stored."""
    return hashlib.sha256(token.encode("utf-8", "surrogatepass")).digest()


class Keyring:
    """Valid keys, indexed by digest."""

    def __init__(self, keys: Iterable[KeyRecord]) -> None:
        self._by_digest = {record.digest: record for record in keys}

    def __len__(self) -> int:
        return len(self._by_digest)

    def identify(self, token: str) -> KeyRecord | None:
        """Return the record of a key, or None if the key is unknown.

        The lookup uses the digest, so its timing reveals nothing about
        the token, and the digests are compared in constant time.
        """
        digest = compute_digest(token)
        record = self._by_digest.get(digest)
        if record is None or not hmac.compare_digest(record.digest, digest):
            return None
        return record
