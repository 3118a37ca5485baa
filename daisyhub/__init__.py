"""Request gateway and rollout service in front of a pool of endpoints."""

__version__ = "0.1.0"
__all__ = ["__version__"]
