package org.coriandercrank.kernel.code;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a documented table of result codes that differs from the codes that callers and operators see. */
class DocumentedResultCodesTest {
    @Test
    void pageMatchesTheEnum() throws IOException {
        List<String> documented = Files.readAllLines(Path.of("../docs/RESULT_CODES.md")).stream()
                .filter(line -> line.matches("\\| \\d.*"))
                .toList();
        List<String> expected = Arrays.stream(ResultCode.values())
                .map(code -> "| " + code.number() + " | `" + code.name() + "` | " + code.httpStatus() + " | `"
                        + code.outcome().headerValue() + "` | " + code.description() + " |")
                .toList();

        assertThat(documented).containsExactlyElementsOf(expected);
    }
}
