"""Which release began the streams that callers may go on with."""

from daisyhub.streams._origin_record_core import (
    SETTLE_S,
    BatchFailed,
    BatchReceived,
    BatchSent,
    CallObjectFailed,
    ObjectRead,
    ObjectWritten,
    OriginRecordCore,
    ReadObject,
    RecordTick,
    RecordView,
    SendBatch,
    StreamBegan,
    WriteObject,
    write_interval_s,
)
from daisyhub.streams._origin_table import OriginTable, StreamOrigin
from daisyhub.streams._origins import (
    LocalStreamOrigins,
    StreamOrigins,
    StreamSearch,
)
from daisyhub.streams._stored_origins import (
    MAX_STORED_ORIGINS,
    StoredOrigin,
    decode_origins,
    digest_stream_key,
    encode_origins,
    merge_origin,
)

__all__ = [
    "BatchFailed",
    "BatchReceived",
    "BatchSent",
    "CallObjectFailed",
    "LocalStreamOrigins",
    "MAX_STORED_ORIGINS",
    "ObjectRead",
    "ObjectWritten",
    "OriginRecordCore",
    "OriginTable",
    "ReadObject",
    "RecordTick",
    "RecordView",
    "SETTLE_S",
    "SendBatch",
    "StoredOrigin",
    "StreamBegan",
    "StreamOrigin",
    "StreamOrigins",
    "StreamSearch",
    "WriteObject",
    "decode_origins",
    "digest_stream_key",
    "encode_origins",
    "merge_origin",
    "write_interval_s",
]
