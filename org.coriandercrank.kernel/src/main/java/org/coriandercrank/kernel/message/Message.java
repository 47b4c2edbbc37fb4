package org.coriandercrank.kernel.message;

/** A message between daemons. Immutable. */
public sealed interface Message
        permits Hello,
                Ping,
                Pong,
                Heartbeat,
                HeartbeatAck,
                HeldRangesQuery,
                HeldRangesReport,
                ForwardRequest,
                ForwardAnswer,
                CancelRequest,
                OutcomeQuery,
                OutcomeAnswer,
                RefusalRequest,
                RefusalAnswer,
                RefusalNotice,
                ReleaseRequest,
                ReleaseAnswer,
                FetchObject,
                ObjectData,
                LoadQuery,
                LoadReport,
                CallFailure {}
