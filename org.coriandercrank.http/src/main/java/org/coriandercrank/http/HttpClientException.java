package org.coriandercrank.http;

/** Failure of a request that was sent with {@link HttpClient}. Immutable. */
public final class HttpClientException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** How far the request got before it failed. */
    public enum Stage {
        /** No byte of the request was written, because no process listens at the address of the server. */
        CONNECTION_REFUSED,
        /** No byte of the request was written. */
        NOT_SENT,
        /** The request was written at least in part, so the server may have handled it. */
        SENT
    }

    private final Stage stage;

    public HttpClientException(Stage stage, String message, Throwable cause) {
        super(message, cause);
        this.stage = stage;
    }

    public Stage stage() {
        return stage;
    }

    /** Whether a failure proves that no byte of the request was written. */
    public static boolean isNotSent(Throwable failure) {
        return failure instanceof HttpClientException e && e.stage != Stage.SENT;
    }

    /** Whether a failure shows that no process listens at the address of the server. */
    public static boolean isConnectionRefused(Throwable failure) {
        return failure instanceof HttpClientException e && e.stage == Stage.CONNECTION_REFUSED;
    }
}
