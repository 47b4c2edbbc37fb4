package org.coriandercrank.http;

/** Failure of a client call. Immutable. */
public final class HttpCallException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** How far the call got. */
    public enum Stage {
        /** No byte of the request was written, because nothing listens at the address of the server. */
        REFUSED,
        /** No byte of the request was written. */
        NOT_SENT,
        /** The server may have handled the request. */
        SENT
    }

    private final Stage stage;

    public HttpCallException(Stage stage, String message, Throwable cause) {
        super(message, cause);
        this.stage = stage;
    }

    public Stage stage() {
        return stage;
    }

    /** Whether a failure tells that no byte of the request was written. */
    public static boolean isNotSent(Throwable failure) {
        return failure instanceof HttpCallException e && e.stage != Stage.SENT;
    }

    /** Whether a failure tells that nothing listens at the address of the server. */
    public static boolean isRefused(Throwable failure) {
        return failure instanceof HttpCallException e && e.stage == Stage.REFUSED;
    }
}
