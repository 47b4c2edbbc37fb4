package org.coriandercrank.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.store.JsonCodec;

/** Reads the ledger files of backend servers, in which they log each execution. Stateless. */
public final class LedgerReader {
    private LedgerReader() {}

    /**
     * Returns all executions of the files. A missing file counts as empty. An incomplete last line, which a killed
     * server may leave, is ignored.
     *
     * @throws CrankException if any other line is not an execution
     */
    public static List<Execution> read(List<Path> files) {
        List<Execution> executions = new ArrayList<>();
        for (Path file : files) {
            if (Files.exists(file)) {
                readFile(file, executions);
            }
        }
        return executions;
    }

    private static void readFile(Path file, List<Execution> executions) {
        try {
            String text = Files.readString(file);
            String complete = text.substring(0, text.lastIndexOf('\n') + 1);
            complete.lines()
                    .forEach(line ->
                            executions.add(JsonCodec.decode(line.getBytes(StandardCharsets.UTF_8), Execution.class)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
