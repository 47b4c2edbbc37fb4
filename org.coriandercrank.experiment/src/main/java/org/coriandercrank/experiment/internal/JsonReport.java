package org.coriandercrank.experiment.internal;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.coriandercrank.kernel.store.JsonCodec;

/** Writes figures as JSON. Stateless. */
final class JsonReport {
    private JsonReport() {}

    /** Replaces a file; an empty name writes nothing. */
    static void write(String file, Object results) {
        if (file.isEmpty()) {
            return;
        }
        try {
            Files.write(Path.of(file), JsonCodec.encode(results));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
