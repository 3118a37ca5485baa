"""Headers forwarded between callers and endpoints; all others are dropped."""

__all__ = ["REQUEST_HEADERS", "RESPONSE_HEADERS"]

REQUEST_HEADERS = frozenset(
    {
        b"accept",
        b"accept-language",
        b"content-type",
        b"idempotency-key",
        b"if-match",
        b"if-modified-since",
        b"if-none-match",
    }
)
RESPONSE_HEADERS = frozenset(
    {
        b"cache-control",
        b"content-language",
        b"content-type",
        b"etag",
        b"last-modified",
        b"location",
        b"retry-after",
    }
)
