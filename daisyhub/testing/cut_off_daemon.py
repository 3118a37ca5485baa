"""Starts a daemon that can be cut off from its peers.

While the file named by `DAISYHUB_CUT_OFF_FILE` exists, the daemon neither sends
nor receives messages of peers. Clients, servers and store still reach it.
"""

import signal

# Before the slow imports, as in the daemon: a SIGHUP that arrives during them
# would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# ruff: noqa: E402
import os
import pathlib
import sys

from daisyhub.peers import PeerNetwork
from daisyhub.platform.__main__ import main


def _make_cuttable(path: pathlib.Path) -> None:
    """Makes all networks drop messages while there is a file `path`."""
    send, send_datagrams = PeerNetwork.send, PeerNetwork.send_datagrams
    receive = PeerNetwork._receive

    def send_unless_cut(network, daemon_id, *messages):
        return not path.exists() and send(network, daemon_id, *messages)

    def send_datagrams_unless_cut(network, daemon_ids, *messages):
        if not path.exists():
            send_datagrams(network, daemon_ids, *messages)

    def receive_unless_cut(network, data):
        if not path.exists():
            receive(network, data)

    PeerNetwork.send = send_unless_cut
    PeerNetwork.send_datagrams = send_datagrams_unless_cut
    PeerNetwork._receive = receive_unless_cut


if __name__ == "__main__":
    _make_cuttable(pathlib.Path(os.environ["DAISYHUB_CUT_OFF_FILE"]))
    sys.exit(main())
