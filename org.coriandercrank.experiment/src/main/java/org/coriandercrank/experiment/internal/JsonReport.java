package org.coriandercrank.experiment.internal;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.coriandercrank.kernel.store.JsonCodec;

/** Writes results of an experiment as JSON. Stateless. */
final class JsonReport {
    private JsonReport() {}

    /** Replaces a file with the JSON form of an object; does nothing if the file name is empty. */
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
