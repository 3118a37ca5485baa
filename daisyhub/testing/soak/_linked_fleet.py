"""A fleet whose connections to the store and servers go through links."""

from daisyhub.testing.fleet import Fleet
from daisyhub.testing.soak._links import Link, LinkMode

__all__ = ["CLIENT_NETWORK", "LinkedFleet"]

# Beginning of the loopback addresses that the daemons connect from.
CLIENT_NETWORK = "127.0.1."
_MODULE = "daisyhub.testing.soaked_daemon"


class LinkedFleet(Fleet):
    """A fleet whose connections to the store and servers go through links.

    Args:
        **options: Options of `Fleet`.

    Attributes:
        links: The link to each server by its name, and from each daemon to the
            store by `store NAME`.
        client_ips: The address that each daemon connects from.
    """

    def __init__(self, **options):
        super().__init__(module=_MODULE, **options)
        # Endpoints of two software versions serve side by side.
        self.software = dict.fromkeys(self.server_names[1::2], "v2")
        self.links: dict[str, Link] = {}
        self.client_ips = {
            name: f"{CLIENT_NETWORK}{number}"
            for number, name in enumerate(self.daemon_names, start=1)
        }
        self.daemon_env = {
            name: {"DAISYHUB_SOAK_IP": ip}
            for name, ip in self.client_ips.items()
        }

    async def open_links(self, tasks) -> None:
        """Opens a link to each server, and from each daemon to the store."""
        for name in self.server_names:
            self.links[name] = Link(self.address(name))
        for name in self.daemon_names:
            self.links[f"store {name}"] = Link(
                self.address("platform"), self.client_ips[name]
            )
        for link in self.links.values():
            await link.listen()
            tasks.start_soon(link.run)

    def cut_off(self, daemon: str, mode: LinkMode) -> None:
        """Sets the mode of the links from a daemon to all servers."""
        for name in self.server_names:
            self.links[name].set_mode(mode, self.client_ips[daemon])

    def build_settings(self, name: str) -> dict:
        """See `Fleet`; the store's address is that of the daemon's link."""
        settings = super().build_settings(name)
        settings["store"] = str(self.links[f"store {name}"].address)
        return settings

    def build_server_entry(self, name: str) -> dict:
        """See `Fleet`; the address is that of the server's link."""
        entry = super().build_server_entry(name)
        entry["address"] = str(self.links[name].address)
        return entry
