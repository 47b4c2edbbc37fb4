import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }
    }

    private Http() {}

    /** Returns the next message with a content length; null at the end of the stream. */
    static Message read(BufferedInputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("body ends early: " + body.length + " of " + length + " bytes");
        }
        return new Message(start, headers, body);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int c = in.read(); ; c = in.read()) {
            if (c < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new IOException("message ends early");
            }
            if (c == '\n') {
                return bytes.toString().stripTrailing();
            }
            bytes.write(c);
        }
    }
}
