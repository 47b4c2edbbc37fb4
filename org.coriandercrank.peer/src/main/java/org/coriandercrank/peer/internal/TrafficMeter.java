package org.coriandercrank.peer.internal;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.coriandercrank.kernel.message.CancelRequest;
import org.coriandercrank.kernel.message.ForwardAnswer;
import org.coriandercrank.kernel.message.ForwardRequest;
import org.coriandercrank.kernel.message.Message;
import org.coriandercrank.kernel.message.OutcomeAnswer;
import org.coriandercrank.kernel.message.OutcomeQuery;

/**
 * Counts bytes and messages between daemons, separately for requests of callers and for control messages. Thread safe.
 */
final class TrafficMeter {
    private final Direction sent;
    private final Direction received;

    TrafficMeter(MeterRegistry registry) {
        sent = new Direction(registry, "sent");
        received = new Direction(registry, "received");
    }

    void sent(Message message, int bytes) {
        sent.count(message, bytes);
    }

    void received(Message message, int bytes) {
        received.count(message, bytes);
    }

    /** Whether a message belongs to a request of a caller; all others are control messages. */
    static boolean isRequestTraffic(Message message) {
        return message instanceof ForwardRequest
                || message instanceof ForwardAnswer
                || message instanceof CancelRequest
                || message instanceof OutcomeQuery
                || message instanceof OutcomeAnswer;
    }

    private static final class Direction {
        private final Counter requestBytes;
        private final Counter requestMessages;
        private final Counter controlBytes;
        private final Counter controlMessages;

        Direction(MeterRegistry registry, String direction) {
            requestBytes = registry.counter("crank.peer.bytes", "direction", direction, "kind", "request");
            requestMessages = registry.counter("crank.peer.messages", "direction", direction, "kind", "request");
            controlBytes = registry.counter("crank.peer.bytes", "direction", direction, "kind", "control");
            controlMessages = registry.counter("crank.peer.messages", "direction", direction, "kind", "control");
        }

        void count(Message message, int bytes) {
            boolean request = isRequestTraffic(message);
            (request ? requestBytes : controlBytes).increment(bytes);
            (request ? requestMessages : controlMessages).increment();
        }
    }
}
