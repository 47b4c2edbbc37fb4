package org.coriandercrank.adapters.internal;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import org.coriandercrank.http.HttpClientException;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.Era;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.store.EraTracker;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.store.WatchBatch;

/**
 * Maps HTTP responses and failures of the store to values and result codes. Stateless.
 *
 * <p>A write is reported as having had no effect only if the request was not sent or the store rejected it. Every other
 * failure of a write, including a malformed response, is {@code WRITE_UNANSWERED}.
 */
public final class StoreResponses {
    public static final String EXPECTED_REVISION_HEADER = "crank-expected-revision";

    private static final String REVISION_HEADER = "crank-revision";
    private static final String ERA_HEADER = "crank-era";
    private static final String NOT_RUN_HEADER = "crank-not-run";
    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_CONTENT_TOO_LARGE = 413;
    private static final int FIRST_SERVER_ERROR_STATUS = 500;
    private static final int FIRST_STATUS_AFTER_SERVER_ERRORS = 600;

    private StoreResponses() {}

    /**
     * Converts the response to a read. A read has no effect, so every failure and server error is
     * {@code STORE_UNAVAILABLE}, and so is a response of an earlier era.
     */
    public static <T> CompletableFuture<T> read(
            EraTracker eras, CompletableFuture<HttpResponse> responseFuture, BiFunction<HttpResponse, Era, T> decoder) {
        return responseFuture.handle((response, failure) -> {
            if (failure != null) {
                throw new CrankException(ResultCode.STORE_UNAVAILABLE, "read failed: " + failure.getMessage(), failure);
            }
            Era era = eras.observe(response.header(ERA_HEADER));
            eras.requireLatest(era);
            if (response.status() >= FIRST_SERVER_ERROR_STATUS
                    && response.status() < FIRST_STATUS_AFTER_SERVER_ERRORS) {
                throw new CrankException(
                        ResultCode.STORE_UNAVAILABLE, "the store responded with status " + response.status());
            }
            return decoder.apply(response, era);
        });
    }

    /**
     * Converts the response to a conditional write into the new revision.
     *
     * @param intended era in which the write must take effect
     */
    public static CompletableFuture<Revision> write(
            String name, EraTracker eras, Era intended, CompletableFuture<HttpResponse> responseFuture) {
        return responseFuture.handle((response, failure) -> {
            if (failure != null) {
                throw writeFailure(name, failure);
            }
            Era answered = eras.observe(response.header(ERA_HEADER));
            if (response.status() == STATUS_OK) {
                eras.afterWrite(name, intended, answered);
                return revision(response, answered)
                        .orElseThrow(() -> new CrankException(
                                ResultCode.WRITE_UNANSWERED, "response to the write of " + name + " has no revision"));
            }
            throw rejection(name, response);
        });
    }

    private static CrankException writeFailure(String name, Throwable failure) {
        boolean notSent = HttpClientException.isNotSent(failure);
        return new CrankException(
                notSent ? ResultCode.STORE_UNAVAILABLE : ResultCode.WRITE_UNANSWERED,
                "write of " + name + ": " + failure.getMessage(),
                failure);
    }

    private static CrankException rejection(String name, HttpResponse response) {
        int status = response.status();
        if (status == STATUS_CONFLICT) {
            return new CrankException(
                    ResultCode.REVISION_CONFLICT,
                    name + " has revision " + response.header(REVISION_HEADER).orElse("unknown"));
        }
        boolean notExecuted =
                response.header(NOT_RUN_HEADER).filter("true"::equals).isPresent()
                        || status == STATUS_CONTENT_TOO_LARGE;
        return new CrankException(
                notExecuted ? ResultCode.STORE_UNAVAILABLE : ResultCode.WRITE_UNANSWERED,
                "response to the write of " + name + " has status " + status);
    }

    /** Decodes the object in the response to a get; empty if the store has no such object. */
    public static Optional<StoredObject> object(String name, HttpResponse response, Era era) {
        if (response.status() == STATUS_NOT_FOUND
                && response.header(REVISION_HEADER).isPresent()) {
            return Optional.empty();
        }
        requireOk(response);
        Revision revision = revision(response, era)
                .orElseThrow(() -> new CrankException(ResultCode.STORE_MALFORMED, "response has no revision"));
        return Optional.of(StoredObject.of(name, revision, response.body()));
    }

    /** Decodes the batch in the response to a listing or a watch. */
    public static WatchBatch batch(HttpResponse response, Era era) {
        requireOk(response);
        WatchBatch batch = JsonCodec.decode(response.body(), WatchBatch.class);
        boolean incomplete = batch.upTo() == null
                || batch.changes().stream()
                        .anyMatch(
                                object -> object.name() == null || object.revision() == null || object.value() == null);
        if (incomplete) {
            throw new CrankException(
                    ResultCode.STORE_MALFORMED, "the listing or an object in it lacks a required field");
        }
        return new WatchBatch(
                Revision.of(era, batch.upTo().number()),
                batch.changes().stream().map(object -> inEra(object, era)).toList(),
                batch.reset());
    }

    private static StoredObject inEra(StoredObject object, Era era) {
        Revision revision = Revision.of(era, object.revision().number());
        return new StoredObject(object.name(), revision, object.value(), object.deleted());
    }

    private static void requireOk(HttpResponse response) {
        if (response.status() != STATUS_OK) {
            throw new CrankException(ResultCode.STORE_MALFORMED, "unexpected status " + response.status());
        }
    }

    private static Optional<Revision> revision(HttpResponse response, Era era) {
        try {
            return response.header(REVISION_HEADER).map(Long::parseLong).map(number -> Revision.of(era, number));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
