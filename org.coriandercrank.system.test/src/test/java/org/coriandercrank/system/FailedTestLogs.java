package org.coriandercrank.system;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.TestExecutionExceptionHandler;
import org.junit.jupiter.api.io.TempDir;
import org.junit.platform.commons.support.AnnotationSupport;

/**
 * Copies the logs of the processes of a failed test to {@code target/failed-tests}, and prints the lines about failures,
 * because the files of a run in CI are gone afterwards. JUnit finds it as a service. Stateless.
 */
public final class FailedTestLogs implements TestExecutionExceptionHandler {
    private static final Path KEPT_LOGS = Path.of("target", "failed-tests");
    private static final String LOG_SUFFIX = ".log";
    private static final List<String> FAILURE_MARKS = List.of("WARNING", "SEVERE", "-failed", "server-watch");
    private static final int MAX_PRINTED_LINES_PER_LOG = 25;
    private static final int MAX_PRINTED_LINE_LENGTH = 300;

    @Override
    public void handleTestExecutionException(ExtensionContext context, Throwable failure) throws Throwable {
        String test = context.getRequiredTestClass().getSimpleName() + "."
                + context.getRequiredTestMethod().getName();
        List<Path> directories = AnnotationSupport.findAnnotatedFieldValues(
                context.getRequiredTestInstance(), TempDir.class, Path.class);
        for (Path directory : directories) {
            try {
                keepLogs(directory, KEPT_LOGS.resolve(test + "-" + directory.getFileName()));
            } catch (IOException e) {
                failure.addSuppressed(e);
            }
        }
        throw failure;
    }

    private static void keepLogs(Path from, Path to) throws IOException {
        Files.createDirectories(to);
        System.out.println("logs of the failed test: " + to);
        List<Path> logs;
        try (Stream<Path> files = Files.list(from)) {
            logs = files.filter(file -> file.toString().endsWith(LOG_SUFFIX))
                    .sorted()
                    .toList();
        }
        for (Path log : logs) {
            Files.copy(log, to.resolve(log.getFileName()), StandardCopyOption.REPLACE_EXISTING);
            printFailures(log);
        }
    }

    private static void printFailures(Path log) throws IOException {
        List<String> lines;
        try (Stream<String> all = Files.lines(log)) {
            lines = all.filter(line -> FAILURE_MARKS.stream().anyMatch(line::contains))
                    .toList();
        }
        lines.stream()
                .skip(Math.max(0, lines.size() - MAX_PRINTED_LINES_PER_LOG))
                .forEach(line -> System.out.println(log.getFileName() + ": "
                        + line.substring(0, Math.min(line.length(), MAX_PRINTED_LINE_LENGTH))));
    }
}
