package org.coriandercrank.kernel.store;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.Revision;

/**
 * The latest era that a client of the store knows, and the rules that follow from a change of it.
 *
 * <p>Thread safe. The era never decreases. An answer without a readable era is taken for one of the latest era.
 */
public final class EraTracker {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final AtomicReference<Era> latest = new AtomicReference<>(Era.NONE);

    public Era latest() {
        return latest.get();
    }

    /** Notes an era and returns it. */
    public Era observe(Era era) {
        latest.accumulateAndGet(era, (known, observed) -> observed.isNewerThan(known) ? observed : known);
        return era;
    }

    /**
     * Notes the era that an answer names and returns the era of the answer.
     *
     * @param header value of the header that names the era; empty if the answer has none
     */
    public Era observe(Optional<String> header) {
        if (header.isEmpty()) {
            return latest();
        }
        try {
            return observe(new Era(Long.parseLong(header.get().trim())));
        } catch (IllegalArgumentException e) {
            logger.atWarning().log("event=era-unreadable value=%s kept=%s", header.get(), latest());
            return latest();
        }
    }

    /**
     * Fails if the answer to a read belongs to an earlier era than the latest one.
     *
     * @throws CrankException with {@link ResultCode#STORE_UNAVAILABLE}
     */
    public void requireLatest(Era answered) {
        if (latest().isNewerThan(answered)) {
            throw new CrankException(
                    ResultCode.STORE_UNAVAILABLE, "answer of era " + answered + ", the latest is " + latest());
        }
    }

    /**
     * Returns the era in which a write must take effect. A write that expects a revision of an earlier era must not be
     * sent, because another version of the object may have been given the same number.
     *
     * @throws CrankException with {@link ResultCode#REVISION_CONFLICT} if the expected revision is of an earlier era
     */
    public Era beforeWrite(String name, Revision expected) {
        if (expected.equals(Revision.NONE)) {
            return latest();
        }
        observe(expected.era());
        if (latest().isNewerThan(expected.era())) {
            throw new CrankException(
                    ResultCode.REVISION_CONFLICT,
                    name + ": revision " + expected + " is of era " + expected.era() + ", the latest is " + latest());
        }
        return expected.era();
    }

    /**
     * Fails if a write that took effect did so in another era than intended, or if that era is over. In the first case
     * the condition held by chance; in the second the write may be lost. The object must be read again.
     *
     * @throws CrankException with {@link ResultCode#WRITE_UNANSWERED}
     */
    public void afterWrite(String name, Era intended, Era answered) {
        if (!answered.equals(intended) || latest().isNewerThan(answered)) {
            throw new CrankException(
                    ResultCode.WRITE_UNANSWERED,
                    "write of " + name + " meant for era " + intended + " was answered in era " + answered
                            + ", the latest is " + latest());
        }
    }
}
