package org.coriandercrank.testkit;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Runs a Java program of this project as a child process and writes its output to a file. Signals are sent to the
 * process id of this process only. Not thread safe.
 */
public final class ChildProcess implements AutoCloseable {
    private static final long EXIT_TIMEOUT_SECONDS = 15;

    private final String name;
    private final Path outputFile;
    private final Process process;

    private ChildProcess(String name, Path outputFile, Process process) {
        this.name = name;
        this.outputFile = outputFile;
        this.process = process;
    }

    /**
     * Starts a main class with the class path of this process. Standard output and standard error are appended to the
     * file {@code <name>.log} in the directory.
     */
    public static ChildProcess start(String name, Path directory, String mainClass, List<String> arguments) {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx128m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Dio.netty.jfr.enabled=false",
                "-cp",
                System.getProperty("java.class.path"),
                mainClass));
        command.addAll(arguments);
        Path outputFile = directory.resolve(name + ".log");
        try {
            Process process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(outputFile.toFile()))
                    .start();
            return new ChildProcess(name, outputFile, process);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public String name() {
        return name;
    }

    public long pid() {
        return process.pid();
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    /** Returns all output written so far, including that of earlier processes of the same name and directory. */
    public String output() {
        try {
            return Files.readString(outputFile);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Kills the process with SIGKILL and waits for its exit. */
    public void kill() {
        process.destroyForcibly();
        waitForExit();
    }

    /** Terminates the process with SIGTERM, waits for its exit and returns its exit code. */
    public int stop() {
        process.destroy();
        return waitForExit();
    }

    /** Sends SIGTERM to the process without waiting for its exit. */
    public void requestStop() {
        process.destroy();
    }

    /** Waits for the exit of the process and returns its exit code; kills the process after 15 s. */
    public int waitForExit() {
        try {
            if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly();
                process.waitFor();
            }
            return process.exitValue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    /** Suspends the process with SIGSTOP until {@link #resume} is called. */
    public void freeze() {
        signal("STOP");
    }

    /** Lets a suspended process continue, with SIGCONT. */
    public void resume() {
        signal("CONT");
    }

    private void signal(String signal) {
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    @Override
    public void close() {
        if (process.isAlive()) {
            resume();
            kill();
        }
    }
}
