package org.coriandercrank.ingress;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.RequestFingerprint;
import org.coriandercrank.kernel.ownership.RequestQuarantine;

/** A quarantine of requests that a test selects. Thread safe. */
final class FakeQuarantine implements RequestQuarantine {
    static final long REMAINING_MS = 90_000;

    final Set<RequestFingerprint> quarantined = ConcurrentHashMap.newKeySet();

    final Set<RequestFingerprint> confined = ConcurrentHashMap.newKeySet();

    /** Whether a request is cleared by another thread right after its status was read. */
    volatile boolean clearsAfterStatusIsRead;

    @Override
    public Status status(RequestFingerprint request) {
        boolean held = quarantined.contains(request);
        if (clearsAfterStatusIsRead) {
            quarantined.remove(request);
        }
        if (held) {
            return Status.QUARANTINED;
        }
        return confined.contains(request) ? Status.CONFINED : Status.CLEAR;
    }

    @Override
    public long remainingMs(RequestFingerprint request) {
        return quarantined.contains(request) ? REMAINING_MS : 0;
    }

    @Override
    public void recordCrash(MemberId member, List<RequestFingerprint> candidates) {
        throw new UnsupportedOperationException("the ingress observes no servers");
    }

    @Override
    public void recordAnswer(RequestFingerprint request) {
        throw new UnsupportedOperationException("the ingress observes no servers");
    }
}
