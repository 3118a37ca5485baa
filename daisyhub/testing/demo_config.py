"""The configuration document and the API keys of the demo."""

import dataclasses

from daisyhub.identity import ParsedKey, hash_secret, new_key
from daisyhub.testing.processes import HASH_KEY

__all__ = ["DemoKeys", "demo_document"]


@dataclasses.dataclass(frozen=True, slots=True)
class DemoKeys:
    """The API key of each client account."""

    yard: ParsedKey
    archive: ParsedKey
    trainer: ParsedKey

    @classmethod
    def make(cls) -> "DemoKeys":
        """Returns random keys."""
        return cls(new_key(), new_key(), new_key())

    @staticmethod
    def text(key: ParsedKey) -> str:
        """Returns a key in the format that clients send."""
        return f"dh_{key.key_id}_{key.secret}"


def demo_document(keys: DemoKeys) -> dict:
    """Returns a document with look-ups, filings, a stream and a lot class."""
    accounts = {"yard": keys.yard, "archive": keys.archive}
    accounts["trainer"] = keys.trainer
    # Above the demo's load, so that the rate limit rejects no request.
    limits = {"weight": 1, "requests_per_s": 20_000.0, "burst": 20_000}
    return {
        "client_accounts": {name: dict(limits) for name in accounts},
        "keys": {
            key.key_id: {
                "account": name,
                "secret_hash": hash_secret(key.secret, HASH_KEY),
            }
            for name, key in accounts.items()
        },
        "routes": {
            "records": {
                "path_prefix": "/records",
                "pool": "records",
                "idempotent": True,
                "hedge_after_s": 0.5,
            },
            "open": {
                "path_prefix": "/open",
                "pool": "records",
                "access": "open",
                "idempotent": True,
            },
            "filings": {
                "path_prefix": "/filings",
                "methods": ["POST"],
                "pool": "records",
                "accounts": ["archive"],
            },
            "stream": {
                "path_prefix": "/stream",
                "pool": "records",
                "idempotent": True,
                "answer": "stream",
            },
        },
        "trainer_lots": {
            "assess": {
                "account": "trainer",
                "pool": "model",
                "group_size": 4,
                "max_staleness": 2,
                "max_tokens": 200,
                "concurrency": 32,
            }
        },
        "endpoint_pools": {
            "model": {"kind": "engine", "weight_loads_at_once": 2},
            "records": {"kind": "service"},
        },
    }
