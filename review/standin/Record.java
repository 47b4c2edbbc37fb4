import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the seconds since the start. Thread safe. */
final class Record {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void line(String text) {
        out.printf(Locale.ROOT, "%8.3f %s%n", seconds(), text);
        out.flush();
    }

    void run(String upstream, String request, String requestId, int key, int bodyBytes) {
        line("run upstream=" + upstream + " request=" + requestId + " key=" + key + " body=" + bodyBytes + " "
                + request);
    }
}
