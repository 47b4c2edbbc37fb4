package org.coriandercrank.adapters.internal;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.coriandercrank.http.HttpClientException;
import org.coriandercrank.http.HttpResponse;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.store.WatchBatch;

/**
 * Maps answers and failures of the store's protocol to values and result codes. Stateless.
 *
 * <p>A write is reported as without effect only if the request was not sent or the store said so; every other failure
 * of a write, an unreadable answer included, is {@code WRITE_UNANSWERED}.
 */
public final class StoreResponses {
    public static final String EXPECTED_REVISION_HEADER = "crank-expected-revision";

    private static final String REVISION_HEADER = "crank-revision";
    private static final String NOT_RUN_HEADER = "crank-not-run";

    private StoreResponses() {}

    /** Outcome of a read; a read has no effect, so every lost answer is {@code STORE_UNAVAILABLE}. */
    public static <T> CompletableFuture<T> read(
            CompletableFuture<HttpResponse> responseFuture, Function<HttpResponse, T> decoder) {
        return responseFuture.handle((response, failure) -> {
            if (failure != null) {
                throw new CrankException(ResultCode.STORE_UNAVAILABLE, "read failed: " + failure.getMessage(), failure);
            }
            if (response.status() >= 500 && response.status() < 600) {
                throw new CrankException(ResultCode.STORE_UNAVAILABLE, "store answered " + response.status());
            }
            return decoder.apply(response);
        });
    }

    /** Outcome of a conditional write: the new revision. */
    public static CompletableFuture<Revision> write(String name, CompletableFuture<HttpResponse> responseFuture) {
        return responseFuture.handle((response, failure) -> {
            if (failure != null) {
                throw writeFailure(name, failure);
            }
            if (response.status() == 200) {
                return revision(response)
                        .orElseThrow(() -> new CrankException(
                                ResultCode.WRITE_UNANSWERED, "answer to write of " + name + " has no revision"));
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
        if (status == 409) {
            return new CrankException(
                    ResultCode.REVISION_CONFLICT,
                    name + " has revision "
                            + revision(response).map(Revision::toString).orElse("unknown"));
        }
        boolean notExecuted =
                response.header(NOT_RUN_HEADER).filter("true"::equals).isPresent() || status == 413;
        return new CrankException(
                notExecuted ? ResultCode.STORE_UNAVAILABLE : ResultCode.WRITE_UNANSWERED,
                "write of " + name + " answered with status " + status);
    }

    /** The object of a get, or empty for status 404. */
    public static Optional<StoredObject> object(String name, HttpResponse response) {
        if (response.status() == 404 && response.header(REVISION_HEADER).isPresent()) {
            return Optional.empty();
        }
        requireOk(response);
        Revision revision = revision(response)
                .orElseThrow(() -> new CrankException(ResultCode.STORE_MALFORMED, "answer has no revision"));
        return Optional.of(StoredObject.of(name, revision, response.body()));
    }

    /** The batch of a listing or watch. */
    public static WatchBatch batch(HttpResponse response) {
        requireOk(response);
        WatchBatch batch = JsonCodec.decode(response.body(), WatchBatch.class);
        boolean incomplete = batch.upTo() == null
                || batch.changes().stream()
                        .anyMatch(
                                object -> object.name() == null || object.revision() == null || object.value() == null);
        if (incomplete) {
            throw new CrankException(ResultCode.STORE_MALFORMED, "listing lacks a field");
        }
        return batch;
    }

    private static void requireOk(HttpResponse response) {
        if (response.status() != 200) {
            throw new CrankException(ResultCode.STORE_MALFORMED, "unexpected status " + response.status());
        }
    }

    private static Optional<Revision> revision(HttpResponse response) {
        try {
            return response.header(REVISION_HEADER).map(Long::parseLong).map(Revision::new);
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
