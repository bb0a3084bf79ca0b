"""Encoding of typed messages as MessagePack.

An encoded message is an array of its type name and its fields. Only the
types that a codec was created with are decoded, so a peer can't make the
receiver instantiate any other class.
"""

from collections.abc import Iterable
from typing import Any

import msgspec

from sequoiaseam.errors import ErrorCode, SeamError


class Codec:
    """Encode and decode messages of a fixed set of frozen data classes."""

    def __init__(self, message_types: Iterable[type[Any]]) -> None:
        self.types = tuple(message_types)
        self._decoders = {
            message_type.__name__: msgspec.msgpack.Decoder(message_type)
            for message_type in self.types
        }
        self._envelope_decoder = msgspec.msgpack.Decoder(
            tuple[str, msgspec.Raw]
        )
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, message: object) -> bytes:
        """Encode a message; raise TypeError for an unregistered type."""
        name = type(message).__name__
        if name not in self._decoders:
            raise TypeError(f"{name} is not a message type")
        return self._encoder.encode((name, message))

    def decode(self, data: bytes) -> Any:
        """Decode a message; raise SeamError BAD_REQUEST if malformed."""
        try:
            name, body = self._envelope_decoder.decode(data)
            decoder = self._decoders.get(name)
            if decoder is None:
                raise SeamError(
                    ErrorCode.BAD_REQUEST,
                    "unknown message type",
                )
            return decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise SeamError(
                ErrorCode.BAD_REQUEST,
                "malformed message",
            ) from error
