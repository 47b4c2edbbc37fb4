package org.coriandercrank.kernel.ownership;

import java.util.List;
import java.util.Optional;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.RequestFingerprint;
import org.coriandercrank.kernel.request.CallerAnswer;
import org.coriandercrank.kernel.request.CallerRequest;

/** Tells which requests must not be sent to backend servers, because they crash them. Thread safe. */
public interface RequestQuarantine {
    /** What is known about a request. */
    enum Status {
        /** It may be sent to any server. */
        CLEAR,
        /** It may have caused two crashes, so only one such request may run at a server at a time. */
        SUSPECT,
        /**
         * It may have caused three crashes, but so may another request. Only one server may get it, one such request at a
         * time, so that one further crash shows which is the cause.
         */
        CONFINED,
        /** It must not be sent to a server. */
        QUARANTINED;

        /** Whether such a request must not run beside another one that may crash the server. */
        public boolean runsAlone() {
            return this == SUSPECT || this == CONFINED;
        }
    }

    /** A quarantine of no requests. */
    RequestQuarantine NONE = new RequestQuarantine() {
        @Override
        public Status status(RequestFingerprint request) {
            return Status.CLEAR;
        }

        @Override
        public long remainingMs(RequestFingerprint request) {
            return 0;
        }

        @Override
        public void recordCrash(MemberId member, List<RequestFingerprint> candidates) {}

        @Override
        public void recordAnswer(RequestFingerprint request) {}
    };

    Status status(RequestFingerprint request);

    /** Time in milliseconds until a quarantined request is released; 0 if it is not quarantined. */
    long remainingMs(RequestFingerprint request);

    /**
     * Records that the backend server of this daemon crashed.
     *
     * @param member the member of this daemon at that time
     * @param candidates requests that ran at the server and may have caused the crash, those that began last first; a
     *     fingerprint of any caller stands for those with the same content among them
     */
    void recordCrash(MemberId member, List<RequestFingerprint> candidates);

    /** Records that a server has answered a run of a request, so that the request does not crash servers. */
    void recordAnswer(RequestFingerprint request);

    /** Returns the status of a request; one without a fingerprint is clear. */
    default Status status(CallerRequest request) {
        return request.fingerprint().map(this::status).orElse(Status.CLEAR);
    }

    /** Returns the answer that refuses a request, or empty if the request may be sent to a server. */
    default Optional<CallerAnswer> refusal(CallerRequest request) {
        return request.fingerprint()
                .filter(fingerprint -> status(fingerprint) == Status.QUARANTINED)
                .map(fingerprint -> CallerAnswer.retryLater(
                        ResultCode.QUARANTINED, ResultCode.QUARANTINED.description(), remainingMs(fingerprint)));
    }
}
