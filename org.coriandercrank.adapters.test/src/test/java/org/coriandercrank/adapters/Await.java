package org.coriandercrank.adapters;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;

/** Waits for futures and conditions in tests. Stateless. */
final class Await {
    private static final long TIMEOUT_MS = 5_000;

    private Await() {}

    static <T> T value(CompletableFuture<T> future) throws Exception {
        return future.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Returns the code with which a future failed; {@link ResultCode#OK} if it did not fail. */
    static ResultCode code(CompletableFuture<?> future) throws InterruptedException, TimeoutException {
        try {
            future.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            return ResultCode.OK;
        } catch (ExecutionException e) {
            return CrankException.of(e).code();
        }
    }

    static void eventually(BooleanSupplier condition) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (!condition.getAsBoolean() && System.nanoTime() < endNanos) {
            Thread.sleep(5);
        }
        assertThat(condition.getAsBoolean()).isTrue();
    }
}
