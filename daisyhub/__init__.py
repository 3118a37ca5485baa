"""A rollout service between callers, trainers and endpoints."""

__version__ = "0.1.0"
__all__ = ["__version__"]
