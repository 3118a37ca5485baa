"""Starts the demo's processes; stops them on Ctrl-C or after an hour.

Settings, the configuration document and logs are in `.demo/`, so that the
commands of the README can be run in a second terminal in the same folder.
"""

import json
import pathlib
import signal
import sys

import anyio

from daisyhub.testing.demo_config import DemoKeys, demo_document
from daisyhub.testing.processes import Deployment

__all__ = ["main"]

_FOLDER = pathlib.Path(".demo")
_MAX_RUNTIME_S = 3600.0


async def _run(deployment: Deployment) -> None:
    keys = DemoKeys.make()
    await deployment.start()
    document = demo_document(keys)
    path = deployment.folder / "config.jsonc"
    path.write_text(json.dumps(document, indent=2), encoding="utf-8")
    await deployment.apply(document)
    settings = deployment.write_operator_settings()
    daemon = deployment.daemons()[0]
    print(f"daemon:   http://{daemon.address}")
    print(f"metrics:  http://{daemon.operators_address}/metrics")
    print(f"key:      {DemoKeys.text(keys.yard)}")
    print(f"settings: {settings}")
    print(f"document: {path}")
    print("Ctrl-C stops all processes.", flush=True)
    with (
        anyio.move_on_after(_MAX_RUNTIME_S),
        anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals,
    ):
        async for _ in signals:
            break


def main() -> int:
    """Runs the playground; returns 0."""
    _FOLDER.mkdir(exist_ok=True)
    deployment = Deployment(folder=str(_FOLDER))
    try:
        anyio.run(_run, deployment)
    finally:
        deployment.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
