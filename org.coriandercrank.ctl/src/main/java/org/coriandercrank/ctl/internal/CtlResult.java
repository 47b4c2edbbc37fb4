package org.coriandercrank.ctl.internal;

import java.util.List;
import org.coriandercrank.kernel.code.ResultCode;

/**
 * Result of a command. Immutable.
 *
 * @param code result code, which determines the exit code
 * @param value object printed with {@code --json true}
 * @param lines text printed otherwise
 */
public record CtlResult(ResultCode code, Object value, List<String> lines) {
    private static final int EXIT_OTHER_FAILURE = 1;
    private static final int EXIT_SETTING_INVALID = 2;
    private static final int EXIT_NOTE_REJECTED = 3;
    private static final int EXIT_NOTE_CONFLICT = 4;
    private static final int EXIT_NOT_IN_FORCE = 5;
    private static final int EXIT_STORE_UNAVAILABLE = 6;

    public CtlResult {
        lines = List.copyOf(lines);
    }

    static CtlResult ok(Object value, List<String> lines) {
        return new CtlResult(ResultCode.OK, value, lines);
    }

    /** Returns the exit code of the process. Scripts rely on these numbers. */
    public int exitCode() {
        return switch (code) {
            case OK -> 0;
            case SETTING_INVALID -> EXIT_SETTING_INVALID;
            case NOTE_UNREADABLE, NOTE_INVALID, NOTE_ID_REUSED -> EXIT_NOTE_REJECTED;
            case NOTE_CONFLICT -> EXIT_NOTE_CONFLICT;
            case NOTE_NOT_IN_FORCE -> EXIT_NOT_IN_FORCE;
            case STORE_UNAVAILABLE, WRITE_UNANSWERED -> EXIT_STORE_UNAVAILABLE;
            default -> EXIT_OTHER_FAILURE;
        };
    }
}
