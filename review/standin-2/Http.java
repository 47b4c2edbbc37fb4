import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on sockets. Stateless. */
final class Http {
    /** A request or a response. Header names are in lower case. */
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private Http() {}

    static byte[] head(String startLine, Map<String, String> headers) {
        StringBuilder text = new StringBuilder(startLine).append("\r\n");
        headers.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
        return text.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Reads a message; null if the connection ends before its first byte. */
    static Message read(InputStream in, boolean response) throws IOException {
        String startLine = line(in, true);
        if (startLine == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in, false); !line.isEmpty(); line = line(in, false)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        byte[] body;
        if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
            body = chunks(in);
        } else if (headers.containsKey("content-length")) {
            int length = Integer.parseInt(headers.get("content-length"));
            body = in.readNBytes(length);
            if (body.length < length) {
                throw new EOFException("the body ends early");
            }
        } else {
            body = response ? in.readAllBytes() : new byte[0];
        }
        return new Message(startLine, headers, body);
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (int size = size(in); size > 0; size = size(in)) {
            body.write(in.readNBytes(size));
            line(in, false);
        }
        line(in, false);
        return body.toByteArray();
    }

    private static int size(InputStream in) throws IOException {
        return Integer.parseInt(line(in, false).trim(), 16);
    }

    private static String line(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0 && mayEnd && line.size() == 0) {
                return null;
            }
            if (b < 0) {
                throw new EOFException("the head ends early");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static Socket connect(String address, int timeoutMs) throws IOException {
        int colon = address.indexOf(':');
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                timeoutMs);
        return socket;
    }

    /** Sends a request on a new connection and returns the response; fails if it does not come in time. */
    static Message exchange(
            String address, String method, String target, Map<String, String> headers, byte[] body, int timeoutMs)
            throws IOException {
        try (Socket socket = connect(address, 1_000)) {
            socket.setSoTimeout(timeoutMs);
            Map<String, String> all = new LinkedHashMap<>(headers);
            all.putIfAbsent("Host", address);
            all.put("Connection", "close");
            if (body.length > 0 || !method.equals("GET")) {
                all.put("Content-Length", Integer.toString(body.length));
            }
            socket.getOutputStream().write(head(method + " " + target + " HTTP/1.1", all));
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
            Message response = read(new BufferedInputStream(socket.getInputStream()), true);
            if (response == null) {
                throw new EOFException("closed without a response");
            }
            return response;
        }
    }
}
