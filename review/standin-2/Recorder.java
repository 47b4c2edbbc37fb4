import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** Writes the record of a case, each line with the seconds since its start. Thread safe. */
final class Recorder implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;
    private boolean ended;

    Recorder(Path folder) throws IOException {
        out = new PrintWriter(folder.resolve("record.txt").toFile(), StandardCharsets.UTF_8);
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void add(String format, Object... arguments) {
        if (ended) {
            return;
        }
        out.printf("%8.3f %s%n", seconds(), String.format(format, arguments));
        out.flush();
    }

    /** Adds a line and prints it, too. */
    void say(String format, Object... arguments) {
        add(format, arguments);
        System.out.println(String.format(format, arguments));
    }

    /** Adds the exit code as the last line. */
    synchronized void end(int exitCode) {
        say("exit %d", exitCode);
        ended = true;
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
