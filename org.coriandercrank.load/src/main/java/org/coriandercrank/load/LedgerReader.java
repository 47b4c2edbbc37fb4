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

/** Reads ledger files of backend servers. Stateless. */
public final class LedgerReader {
    private LedgerReader() {}

    /**
     * All executions of the files; a missing file counts as empty.
     *
     * @throws CrankException for a line that is not an execution, except for a last line cut off by a kill
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
