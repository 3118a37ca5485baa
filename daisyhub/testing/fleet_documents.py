"""What operators of the users' platform and trainers send, for tests."""

import base64

__all__ = ["build_lot", "build_manifest"]


def build_manifest(
    version: int,
    keys: dict[str, list[str]],
    pool_fields: dict[str, object],
    limits: dict[str, int],
) -> dict:
    """Returns a manifest with one pool and a route of each kind.

    Args:
        version: Its version.
        keys: API keys by client account.
        pool_fields: Further fields of the pool.
        limits: Its limits.
    """
    common = {"host": "a.example", "service": "s", "max-attempts": 3}
    return {
        "version": version,
        "routes": [
            {
                **common,
                "name": "records",
                "path-prefix": "/records/",
                "route-type": "safe",
                "timeout-ms": 2000,
                "target-latency-ms": 200,
            },
            {
                **common,
                "name": "writes",
                "path-prefix": "/writes/",
                "route-type": "unsafe",
                "timeout-ms": 2000,
                "target-latency-ms": 200,
            },
            {
                **common,
                "name": "reward",
                "path-prefix": "/reward/",
                "route-type": "safe",
                "timeout-ms": 2000,
                "target-latency-ms": 200,
                "public": True,
            },
            {
                **common,
                "name": "chat",
                "path-prefix": "/chat/",
                "route-type": "streaming",
                "resumable": True,
                "timeout-ms": 10000,
                "target-latency-ms": 1000,
            },
            {
                **common,
                "name": "gen",
                "path-prefix": "/gen/",
                "route-type": "rollout",
                "timeout-ms": 10000,
                "due-ms": 7500,
                "max-wait-s": 60,
            },
        ],
        "services": [
            {
                "name": "s",
                "engine": {"models": [{"name": "m"}]},
                **pool_fields,
            }
        ],
        "limits": limits,
        "tenants": [
            {"name": name, "api-keys": account_keys}
            for name, account_keys in keys.items()
        ],
    }


def build_lot(lot_id: str, groups=3) -> dict:
    """Returns a lot of groups of four items, as a trainer submits it."""
    items = [
        {
            "id": f"{lot_id}-{g}-{n}",
            "path": f"/gen/{g}",
            "headers": {},
            "body": base64.b64encode(b"prompt").decode(),
            "group": f"g{g}",
            "scorer": {
                "id": f"{lot_id}-{g}-{n}-r",
                "host": "a.example",
                "path": "/reward/1",
                "body": "",
            },
        }
        for g in range(groups)
        for n in range(4)
    ]
    return {"step": 1, "model": "m", "min-version": 1, "items": items}
