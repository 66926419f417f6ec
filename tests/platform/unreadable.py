"""Values that another writer may store, and that no JSON decoder reads."""

from __future__ import annotations

import json

from hypothesis import strategies as st

UNREADABLE_VALUES = (
    b'{"zone":"kgl-\\ud83d"}',
    b'{"\\ud83d":1}',
    b'"\\udc00\\ud83d"',
    b'{"zone":"\\x"}',
    b'{"zone":"\x00"}',
    b'{"zone":"\xff\xfe"}',
    b'{"zone":"\xed\xa0\xbd"}',
    b'{"slots":NaN}',
    b"[-Infinity]",
    b'{"slots":007}',
    b'{"slots":1e999}',
    b'{"slots":' + b"9" * 5000 + b"}",
    b'{"a":1,}',
    b"nothing",
    b'{"a":"}],\\"at\\":1,\\ud83d"}',
    b"[" * 2000 + b"]" * 2000,
    b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
)

_texts = st.text(st.characters(codec=None, categories=("L", "N", "Cs", "Cc", "P")), max_size=6)
_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | _texts,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(_texts, inner, max_size=3),
    max_leaves=8,
)


def encode(value: object) -> bytes:
    """Encode a value as another writer's encoder does: with surrogates, NaN and infinity."""
    return json.dumps(value).encode()


def encoded_values() -> st.SearchStrategy[bytes]:
    """Return what a JSON encoder can write."""
    return _values.map(encode)
