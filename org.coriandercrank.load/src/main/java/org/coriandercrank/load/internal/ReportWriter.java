package org.coriandercrank.load.internal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.load.LoadReport;

/** Writes a report to files. Stateless. */
public final class ReportWriter {
    private ReportWriter() {}

    /** Writes {@code <pathPrefix>.txt}, {@code <pathPrefix>.json} and {@code <pathPrefix>.svg}. */
    public static void write(String pathPrefix, LoadReport report) throws IOException {
        Files.write(Path.of(pathPrefix + ".txt"), report.toLines());
        Files.write(Path.of(pathPrefix + ".json"), JsonCodec.encode(report));
        Files.writeString(Path.of(pathPrefix + ".svg"), SvgPlot.render(report.perSecond()));
    }
}
