"""A map that keeps its entries packed, for tables of many similar rows."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterator, Mapping
from typing import Generic, TypeVar

import msgspec

BUCKET_BYTES = 4_000
COMPRESSION_LEVEL = 1
LARGE_CHANGE = 64

_Key = TypeVar("_Key")
_Value = TypeVar("_Value")


class PackedMap(Generic[_Key, _Value]):
    """An unchanging map in compressed buckets of about `BUCKET_BYTES` before compression.

    A lookup unpacks one bucket; a change packs the buckets that it touches anew and shares the
    others with the map before it.

    Parameters
    ----------
    pair_type : type
        Type of a pair of key and value, that `msgspec` can encode and decode.
    hash_key : callable
        Spreads the keys over the buckets, whose number is a power of two.
    """

    def __init__(
        self, pair_type: type[tuple[_Key, _Value]], hash_key: Callable[[_Key], int]
    ) -> None:
        self._hash_key = hash_key
        self._decoder = msgspec.msgpack.Decoder(list[pair_type])
        self._buckets: list[bytes] = [b""]
        self._sizes: list[int] = [0]
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __contains__(self, key: _Key) -> bool:
        return self.get(key) is not None

    def __getitem__(self, key: _Key) -> _Value:
        value = self.get(key)
        if value is None:
            raise KeyError(key)
        return value

    def get(self, key: _Key) -> _Value | None:
        """Return the value of a key, or None."""
        for other, value in self._unpack(self._place(key)):
            if other == key:
                return value
        return None

    def items(self) -> Iterator[tuple[_Key, _Value]]:
        """Yield all pairs, bucket by bucket."""
        for place in range(len(self._buckets)):
            yield from self._unpack(place)

    def keys(self) -> Iterator[_Key]:
        """Yield all keys, bucket by bucket."""
        for key, _ in self.items():
            yield key

    def updated(self, changes: Mapping[_Key, _Value | None]) -> PackedMap[_Key, _Value]:
        """Return a map with some values replaced, and those keys removed that have None."""
        result = self._copy()
        if len(changes) > LARGE_CHANGE:
            result._spread(len(msgspec.msgpack.encode(list(changes.items()))))
        by_place: dict[int, dict[_Key, _Value | None]] = {}
        for key, value in changes.items():
            by_place.setdefault(result._place(key), {})[key] = value
        for place, inner in by_place.items():
            pairs = dict(result._unpack(place))
            result._count -= len(pairs)
            for key, value in inner.items():
                if value is None:
                    pairs.pop(key, None)
                    continue
                pairs[key] = value
            result._count += len(pairs)
            result._pack(place, pairs)
        result._spread(0)
        return result

    def _copy(self) -> PackedMap[_Key, _Value]:
        result = object.__new__(PackedMap)
        result._hash_key = self._hash_key
        result._decoder = self._decoder
        result._buckets = list(self._buckets)
        result._sizes = list(self._sizes)
        result._count = self._count
        return result

    def _spread(self, added_bytes: int) -> None:
        """Split until the buckets hold what is there and what is about to be added."""
        while sum(self._sizes) + added_bytes > 2 * BUCKET_BYTES * len(self._buckets):
            self._split()

    def _split(self) -> None:
        """Double the buckets, one after the other, so that little is unpacked at a time."""
        count = len(self._buckets)
        self._buckets += [b""] * count
        self._sizes += [0] * count
        for place in range(count):
            pairs = self._unpack(place)
            low = {key: value for key, value in pairs if self._place(key) == place}
            high = {key: value for key, value in pairs if key not in low}
            self._pack(place, low)
            self._pack(place + count, high)

    def _place(self, key: _Key) -> int:
        return self._hash_key(key) % len(self._buckets)

    def _unpack(self, place: int) -> list[tuple[_Key, _Value]]:
        packed = self._buckets[place]
        return self._decoder.decode(zlib.decompress(packed)) if packed else []

    def _pack(self, place: int, pairs: Mapping[_Key, _Value]) -> None:
        data = msgspec.msgpack.encode(list(pairs.items())) if pairs else b""
        self._sizes[place] = len(data)
        self._buckets[place] = zlib.compress(data, COMPRESSION_LEVEL) if data else b""
