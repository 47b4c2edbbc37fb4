package org.coriandercrank.kernel.code;

import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;

/** A failure with a numbered result code. Asynchronous operations fail with it. Immutable. */
public final class CrankException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ResultCode code;

    public CrankException(ResultCode code, String message) {
        super(message);
        this.code = code;
    }

    public CrankException(ResultCode code, String message, Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    public ResultCode code() {
        return code;
    }

    /**
     * Unwraps {@link CompletionException} and {@link ExecutionException}; a failure without a result code becomes
     * {@link ResultCode#INTERNAL}.
     */
    public static CrankException of(Throwable failure) {
        Throwable cause = failure;
        while ((cause instanceof CompletionException || cause instanceof ExecutionException)
                && cause.getCause() != null) {
            cause = cause.getCause();
        }
        if (cause instanceof CrankException) {
            return (CrankException) cause;
        }
        return new CrankException(ResultCode.INTERNAL, String.valueOf(cause), cause);
    }
}
