package org.coriandercrank.kernel.log;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Formats a log record as one line of time, level, logger and message; a stack trace follows on further lines.
 * Stateless.
 */
public final class LineFormatter extends Formatter {
    private static final int INITIAL_LINE_CHARS = 160;

    @Override
    public String format(LogRecord logRecord) {
        StringBuilder line = new StringBuilder(INITIAL_LINE_CHARS)
                .append(Instant.ofEpochMilli(logRecord.getMillis()))
                .append(' ')
                .append(logRecord.getLevel().getName())
                .append(' ')
                .append(simpleName(logRecord.getLoggerName()))
                .append(' ')
                .append(formatMessage(logRecord))
                .append('\n');
        if (logRecord.getThrown() != null) {
            StringWriter trace = new StringWriter();
            logRecord.getThrown().printStackTrace(new PrintWriter(trace));
            line.append(trace);
        }
        return line.toString();
    }

    private static String simpleName(String loggerName) {
        return loggerName == null ? "-" : loggerName.substring(loggerName.lastIndexOf('.') + 1);
    }
}
