package org.coriandercrank.control.internal;

import com.google.common.flogger.FluentLogger;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.ownership.ConfigurationProof;

/**
 * Tells operators when a daemon has not known for a long time whether its configuration is the newest.
 *
 * <p>Invariant: the two lines alternate, beginning with the old proof. Control thread only.
 */
public final class ConfigurationProofMonitor {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private static final long MAX_AGE_MS = 10_000;

    private final ConfigurationProof proof;
    private final long startedNanos;
    private boolean old;

    /** @param startedNanos from when on a daemon that has never had a proof lacks one */
    public ConfigurationProofMonitor(ConfigurationProof proof, long startedNanos) {
        this.proof = proof;
        this.startedNanos = startedNanos;
    }

    /** Reports a change between a recent and an old proof. */
    public void tick(long configurationVersion, long nowNanos) {
        OptionalLong provenAgeMs = proof.ageMs();
        long ageMs = provenAgeMs.orElse(TimeUnit.NANOSECONDS.toMillis(nowNanos - startedNanos));
        if (!old && ageMs >= MAX_AGE_MS) {
            old = true;
            logger.atWarning().log(
                    "event=configuration-proof-old ageMs=%d proven=%s version=%d",
                    ageMs, provenAgeMs.isPresent(), configurationVersion);
        } else if (old && ageMs < MAX_AGE_MS) {
            old = false;
            logger.atInfo().log("event=configuration-proof-regained ageMs=%d version=%d", ageMs, configurationVersion);
        }
    }
}
