package org.coriandercrank.gate.test;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.RequestFingerprint;
import org.coriandercrank.kernel.ownership.RequestQuarantine;

/** A quarantine whose statuses a test sets; it records what the gate reports. Not thread safe. */
final class FakeQuarantine implements RequestQuarantine {
    final Map<RequestFingerprint, Status> statuses = new HashMap<>();
    final List<List<RequestFingerprint>> serverCrashes = new ArrayList<>();
    final List<RequestFingerprint> answered = new ArrayList<>();

    @Override
    public Status status(RequestFingerprint request) {
        return statuses.getOrDefault(request, Status.CLEAR);
    }

    @Override
    public long remainingMs(RequestFingerprint request) {
        return status(request) == Status.QUARANTINED ? 60_000 : 0;
    }

    @Override
    public void recordCrash(MemberId member, List<RequestFingerprint> candidates) {
        serverCrashes.add(candidates);
    }

    @Override
    public void recordAnswer(RequestFingerprint request) {
        answered.add(request);
    }
}
