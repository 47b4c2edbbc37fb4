package org.coriandercrank.http;

/** Failure of a client call. Immutable. */
public final class HttpClientException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** How far the call got. */
    public enum Stage {
        /** No byte of the request was written, because nothing listens at the address of the server. */
        CONNECTION_REFUSED,
        /** No byte of the request was written. */
        NOT_SENT,
        /** The server may have handled the request. */
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

    /** Whether a failure tells that no byte of the request was written. */
    public static boolean isNotSent(Throwable failure) {
        return failure instanceof HttpClientException e && e.stage != Stage.SENT;
    }

    /** Whether a failure tells that nothing listens at the address of the server. */
    public static boolean isConnectionRefused(Throwable failure) {
        return failure instanceof HttpClientException e && e.stage == Stage.CONNECTION_REFUSED;
    }
}
