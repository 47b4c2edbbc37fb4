package org.coriandercrank.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.coriandercrank.http.HttpClientException.Stage;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against bytes that are no final HTTP response and are taken for one: a server in trouble answered with the
 * status 000, and the caller received it. Accepted on purpose although RFC 9112 lets a client reject them: a status line
 * that ends after the status, and {@code content-length: 0} with 204 and 1xx.
 */
class StatusLineTest {
    private static final long TIMEOUT_MS = 5_000;

    /** Well below the timeout of a request, so that a wait for the timeout is not taken for a rejection. */
    private static final long MAX_DETECTION_MS = 2_500;

    private static final String OK_BODY = "content-length: 2\r\n\r\nok";
    private static final Pattern VALID_LINE = Pattern.compile("HTTP/1\\.[01] [2-5][0-9]{2}( [\\t -~\u0080-\u00ff]*)?");

    private static EventLoopGroup group;

    @BeforeAll
    @BeforeContainer
    static void start() {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    @AfterAll
    @AfterContainer
    static void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static String unescape(String text) {
        return text.translateEscapes();
    }

    private static HttpClient client(OneAnswerServer server) {
        return new HttpClient(group, server.address(), HttpClientOptions.DEFAULTS.withMaxConnections(1));
    }

    /** Sends a request that must fail as possibly executed, then one that must get its own response. */
    private static void assertRejected(String method, String bytes) throws Exception {
        try (OneAnswerServer server = new OneAnswerServer(bytes.getBytes(ISO_8859_1), false);
                HttpClient client = client(server)) {
            Throwable failure = catchThrowable(() ->
                    client.send(HttpRequest.of(method, "/x"), TIMEOUT_MS).get(MAX_DETECTION_MS, TimeUnit.MILLISECONDS));
            assertThat(failure).isInstanceOf(ExecutionException.class).hasCauseInstanceOf(HttpClientException.class);
            assertThat(((HttpClientException) failure.getCause()).stage()).isEqualTo(Stage.SENT);
            assertThat(server.clientClosed(MAX_DETECTION_MS))
                    .as("connection closed")
                    .isTrue();
            HttpResponse next =
                    client.send(HttpRequest.of("GET", "/y"), TIMEOUT_MS).get(MAX_DETECTION_MS, TimeUnit.MILLISECONDS);
            assertThat(next.bodyText()).isEqualTo(OneAnswerServer.NEXT_BODY);
        }
    }

    private static HttpResponse accept(String method, String bytes) throws Exception {
        try (OneAnswerServer server = new OneAnswerServer(bytes.getBytes(ISO_8859_1), false);
                HttpClient client = client(server)) {
            return client.send(HttpRequest.of(method, "/x"), TIMEOUT_MS).get(MAX_DETECTION_MS, TimeUnit.MILLISECONDS);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 X",
                "HTTP/1.1 007 X",
                "HTTP/1.1 099 X",
                "HTTP/1.1 20 X",
                "HTTP/1.1 +20 X",
                "HTTP/1.1 2 0 X",
                "HTTP/1.1 -01 X",
                "HTTP/1.1 abc X",
                "HTTP/1.1 2x0 X",
                "HTTP/1.1 200x X",
                "HTTP/1.1 200.1 X",
                "HTTP/1.1 600 X",
                "HTTP/1.1 999 X",
                "HTTP/1.1 1000 X",
                "HTTP/1.1 2000 X",
                "HTTP/1.1 0200 X",
                "HTTP/1.1 \u00b2\u00b9\u00b9 X",
                "HTTP/1.1 101 Switching Protocols",
                "HTTP/1.1",
                "HTTP/1.1 ",
                "HTTP/1.1  200 OK",
                "HTTP/1.1\\t200 OK",
                "HTTP/1.1 200\\tOK",
                "HTTP/1.1\\f200 OK",
                " HTTP/1.1 200 OK",
                "\\r\\nHTTP/1.1 200 OK",
                "\\0HTTP/1.1 200 OK",
                "xHTTP/1.1 200 OK",
                "http/1.1 200 OK",
                "HTTP/1.2 200 OK",
                "HTTP/2.0 200 OK",
                "HTTP/0.9 200 OK",
                "HTTP/1 200 OK",
                "HTTP/1.10 200 OK",
                "HTTP/01.1 200 OK",
                "HTTP/1.1 200 a\\0b",
                "HTTP/1.1 200 a\\rb",
                "HTTP/1.1 200 a\\177b",
                "ICY 200 OK",
                "200 OK",
            })
    void invalidStatusLineIsRejected(String line) throws Exception {
        assertRejected("GET", unescape(line) + "\r\n" + OK_BODY);
    }

    @ParameterizedTest
    @CsvSource(
            value = {
                "204 with a length               | HTTP/1.1 204 X\\r\\ncontent-length: 2\\r\\n\\r\\nok",
                "204 with chunks                 | HTTP/1.1 204 X\\r\\ntransfer-encoding: chunked\\r\\n\\r\\n2\\r\\nok\\r\\n0\\r\\n\\r\\n",
                "205 with a length               | HTTP/1.1 205 X\\r\\ncontent-length: 2\\r\\n\\r\\nok",
                "205 with chunks                 | HTTP/1.1 205 X\\r\\ntransfer-encoding: chunked\\r\\n\\r\\n2\\r\\nok\\r\\n0\\r\\n\\r\\n",
                "205 until the end               | HTTP/1.1 205 X\\r\\n\\r\\nok",
                "interim response with a length  | HTTP/1.1 103 X\\r\\ncontent-length: 2\\r\\n\\r\\nokHTTP/1.1 200 OK\\r\\ncontent-length: 0\\r\\n\\r\\n",
                "interim response with chunks    | HTTP/1.1 103 X\\r\\ntransfer-encoding: chunked\\r\\n\\r\\n0\\r\\n\\r\\nHTTP/1.1 200 OK\\r\\n\\r\\n",
                "invalid after interim           | HTTP/1.1 100 X\\r\\n\\r\\nHTTP/1.1 000 X\\r\\ncontent-length: 0\\r\\n\\r\\n",
                "101 after interim               | HTTP/1.1 100 X\\r\\n\\r\\nHTTP/1.1 101 X\\r\\n\\r\\n",
                "101 with an upgrade             | HTTP/1.1 101 X\\r\\nupgrade: websocket\\r\\nconnection: upgrade\\r\\n\\r\\n",
                "two different lengths           | HTTP/1.1 200 X\\r\\ncontent-length: 2\\r\\ncontent-length: 3\\r\\n\\r\\nok",
                "list of different lengths       | HTTP/1.1 200 X\\r\\ncontent-length: 2, 3\\r\\n\\r\\nok",
                "signed length                   | HTTP/1.1 200 X\\r\\ncontent-length: +2\\r\\n\\r\\nok",
                "negative length                 | HTTP/1.1 200 X\\r\\ncontent-length: -2\\r\\n\\r\\nok",
                "spaces in the length            | HTTP/1.1 200 X\\r\\ncontent-length: 1 2\\r\\n\\r\\nok",
                "hexadecimal length              | HTTP/1.1 200 X\\r\\ncontent-length: 0x2\\r\\n\\r\\nok",
                "empty length                    | HTTP/1.1 200 X\\r\\ncontent-length: \\r\\n\\r\\nok",
                "no digits in the length of 304  | HTTP/1.1 304 X\\r\\ncontent-length: many\\r\\n\\r\\n",
                "length beside chunks            | HTTP/1.1 200 X\\r\\ncontent-length: 2\\r\\ntransfer-encoding: chunked\\r\\n\\r\\n2\\r\\nok\\r\\n0\\r\\n\\r\\n",
                "chunks with 1.0                 | HTTP/1.0 200 X\\r\\ntransfer-encoding: chunked\\r\\n\\r\\n2\\r\\nok\\r\\n0\\r\\n\\r\\n",
                "other coding                    | HTTP/1.1 200 X\\r\\ntransfer-encoding: gzip\\r\\ncontent-length: 2\\r\\n\\r\\nok",
                "chunks not last                 | HTTP/1.1 200 X\\r\\ntransfer-encoding: chunked, gzip\\r\\n\\r\\n2\\r\\nok\\r\\n0\\r\\n\\r\\n",
                "signed chunk size               | HTTP/1.1 200 X\\r\\ntransfer-encoding: chunked\\r\\n\\r\\n+2\\r\\nok\\r\\n0\\r\\n\\r\\n",
                "negative chunk size             | HTTP/1.1 200 X\\r\\ntransfer-encoding: chunked\\r\\n\\r\\n-2\\r\\nok\\r\\n0\\r\\n\\r\\n",
                "control character in a value    | HTTP/1.1 200 X\\r\\nx: a\\0b\\r\\ncontent-length: 2\\r\\n\\r\\nok",
                "bell in a value                 | HTTP/1.1 200 X\\r\\nx: a\\7b\\r\\ncontent-length: 2\\r\\n\\r\\nok",
                "carriage return in a value      | HTTP/1.1 200 X\\r\\nx: a\\rb\\r\\ncontent-length: 2\\r\\n\\r\\nok",
                "control character in a name     | HTTP/1.1 200 X\\r\\nx\\7y: a\\r\\ncontent-length: 2\\r\\n\\r\\nok",
                "space in a name                 | HTTP/1.1 200 X\\r\\nx y: a\\r\\ncontent-length: 2\\r\\n\\r\\nok",
                "space before the colon          | HTTP/1.1 200 X\\r\\nx : a\\r\\ncontent-length: 2\\r\\n\\r\\nok",
                "no name                         | HTTP/1.1 200 X\\r\\n: a\\r\\ncontent-length: 2\\r\\n\\r\\nok",
                "bare line feeds                 | HTTP/1.1 200 OK\\ncontent-length: 2\\n\\nok",
                "no colon                        | HTTP/1.1 200 X\\r\\nxy\\r\\ncontent-length: 2\\r\\n\\r\\nok",
            },
            delimiter = '|')
    void invalidHeadOrFramingIsRejected(String name, String bytes) throws Exception {
        assertRejected("GET", unescape(bytes));
    }

    /** A line that is cut must not be completed by the end of the connection. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200", "HTTP/1.1 200 OK", "HTTP/1.1 2", "HTTP/1.1 200 OK\\r"})
    void unfinishedStatusLineIsNoResponse(String line) throws Exception {
        try (OneAnswerServer server = new OneAnswerServer(unescape(line).getBytes(ISO_8859_1), true);
                HttpClient client = client(server)) {
            Throwable failure = catchThrowable(() ->
                    client.send(HttpRequest.of("GET", "/x"), TIMEOUT_MS).get(MAX_DETECTION_MS, TimeUnit.MILLISECONDS));
            assertThat(failure).hasCauseInstanceOf(HttpClientException.class);
        }
    }

    /** Guards against a check that rejects responses that servers send. */
    @ParameterizedTest
    @CsvSource(
            value = {
                "GET  | 200 | ok | HTTP/1.1 200 OK\\r\\ncontent-length: 2\\r\\n\\r\\nok",
                "GET  | 200 | ok | HTTP/1.0 200 OK\\r\\ncontent-length: 2\\r\\n\\r\\nok",
                "GET  | 200 | ok | HTTP/1.1 200 \\r\\ncontent-length: 2\\r\\n\\r\\nok",
                "GET  | 200 | ok | HTTP/1.1 200\\r\\ncontent-length: 2\\r\\n\\r\\nok",
                "GET  | 200 | ok | HTTP/1.1 200 a\\tb\\351\\r\\ncontent-length: 2\\r\\n\\r\\nok",
                "GET  | 200 | ok | HTTP/1.1 200 OK\\r\\ntransfer-encoding: Chunked\\r\\n\\r\\n2\\r\\nok\\r\\n0\\r\\n\\r\\n",
                "GET  | 299 | ok | HTTP/1.1 299 X\\r\\ncontent-length: 2\\r\\n\\r\\nok",
                "GET  | 599 | ok | HTTP/1.1 599 X\\r\\ncontent-length: 2\\r\\n\\r\\nok",
                "GET  | 204 | '' | HTTP/1.1 204 X\\r\\n\\r\\n",
                "GET  | 204 | '' | HTTP/1.1 204 X\\r\\ncontent-length: 0\\r\\n\\r\\n",
                "GET  | 205 | '' | HTTP/1.1 205 X\\r\\ncontent-length: 0\\r\\n\\r\\n",
                "GET  | 205 | '' | HTTP/1.1 205 X\\r\\ntransfer-encoding: chunked\\r\\n\\r\\n0\\r\\n\\r\\n",
                "GET  | 304 | '' | HTTP/1.1 304 X\\r\\ncontent-length: 2\\r\\n\\r\\n",
                "GET  | 200 | ok | HTTP/1.1 100 X\\r\\n\\r\\nHTTP/1.1 103 X\\r\\nlink: a\\r\\n\\r\\nHTTP/1.1 200 OK\\r\\ncontent-length: 2\\r\\n\\r\\nok",
                "HEAD | 200 | '' | HTTP/1.1 200 OK\\r\\ncontent-length: 2\\r\\n\\r\\n",
                "HEAD | 200 | '' | HTTP/1.1 200 OK\\r\\ntransfer-encoding: chunked\\r\\n\\r\\n",
                "HEAD | 404 | '' | HTTP/1.1 404 X\\r\\n\\r\\n",
            },
            delimiter = '|')
    void validResponseIsAccepted(String method, int status, String body, String bytes) throws Exception {
        HttpResponse response = accept(method, unescape(bytes));
        assertThat(response.status()).isEqualTo(status);
        assertThat(response.bodyText()).isEqualTo(body);
    }

    /** Bytes behind a response, or behind the head of one that has no body, must not reach the next request. */
    @ParameterizedTest
    @CsvSource(
            value = {
                "GET  | HTTP/1.1 200 OK\\r\\ncontent-length: 2\\r\\n\\r\\nokHTTP/1.1 000 X\\r\\ncontent-length: 0\\r\\n\\r\\n",
                "GET  | HTTP/1.1 200 OK\\r\\ncontent-length: 2\\r\\n\\r\\nokHTTP/1.1 200 OK\\r\\ncontent-le",
                "GET  | HTTP/1.1 200 OK\\r\\ncontent-length: 2\\r\\n\\r\\nokH",
                "GET  | HTTP/1.1 204 X\\r\\n\\r\\nok",
                "GET  | HTTP/1.1 304 X\\r\\ncontent-length: 2\\r\\n\\r\\nok",
                "HEAD | HTTP/1.1 200 OK\\r\\ncontent-length: 2\\r\\n\\r\\nok",
            },
            delimiter = '|')
    void bytesBehindAResponseReachNoLaterRequest(String method, String bytes) throws Exception {
        try (OneAnswerServer server = new OneAnswerServer(unescape(bytes).getBytes(ISO_8859_1), false);
                HttpClient client = client(server)) {
            client.send(HttpRequest.of(method, "/x"), TIMEOUT_MS).get(MAX_DETECTION_MS, TimeUnit.MILLISECONDS);
            assertThat(server.clientClosed(MAX_DETECTION_MS))
                    .as("connection closed")
                    .isTrue();
            HttpResponse next =
                    client.send(HttpRequest.of("GET", "/y"), TIMEOUT_MS).get(MAX_DETECTION_MS, TimeUnit.MILLISECONDS);
            assertThat(next.bodyText()).isEqualTo(OneAnswerServer.NEXT_BODY);
        }
    }

    @Provide
    Arbitrary<String> statusLines() {
        Arbitrary<String> versions = Arbitraries.frequencyOf(
                Tuple.of(6, Arbitraries.of("HTTP/1.1", "HTTP/1.0")),
                Tuple.of(1, Arbitraries.of("HTTP/1.2", "HTTP/2.0", "http/1.1", "HTTP", "", " HTTP/1.1")));
        Arbitrary<String> separators = Arbitraries.frequencyOf(
                Tuple.of(8, Arbitraries.just(" ")), Tuple.of(1, Arbitraries.of("", "  ", "\t", "\u000b", "\0", "\r")));
        Arbitrary<String> statuses = Arbitraries.oneOf(
                Arbitraries.integers().between(0, 9_999).map(status -> "%03d".formatted(status)),
                Arbitraries.integers().between(200, 599).map(String::valueOf),
                Arbitraries.strings().withChars("0123456789+- .xe").ofMaxLength(5));
        Arbitrary<String> reasons = Arbitraries.oneOf(
                Arbitraries.of("OK", ""),
                Arbitraries.strings().withCharRange(' ', '~').ofMaxLength(8),
                Arbitraries.strings()
                        .withCharRange('\0', '\u00ff')
                        .excludeChars('\n')
                        .ofMaxLength(3));
        return Combinators.combine(versions, separators, statuses, separators, reasons)
                .as((version, gap, status, secondGap, reason) -> version + gap + status + secondGap + reason);
    }

    /** The client must accept exactly the lines that the grammar of RFC 9112 and the range 200 to 599 allow. */
    @Property(tries = 1_000)
    void onlyValidStatusLinesAreAccepted(@ForAll("statusLines") String line) throws Exception {
        // The line feed after a trailing carriage return ends the line with CR CR LF.
        boolean valid = VALID_LINE.matcher(line).matches()
                && !line.startsWith("204", "HTTP/1.1 ".length())
                && !line.startsWith("205", "HTTP/1.1 ".length());
        try (OneAnswerServer server = new OneAnswerServer((line + "\r\n" + OK_BODY).getBytes(ISO_8859_1), true);
                HttpClient client = client(server)) {
            Throwable failure = catchThrowable(() ->
                    client.send(HttpRequest.of("GET", "/x"), TIMEOUT_MS).get(MAX_DETECTION_MS, TimeUnit.MILLISECONDS));
            if (valid) {
                assertThat(failure).isNull();
            } else {
                assertThat(failure).hasCauseInstanceOf(HttpClientException.class);
            }
        }
    }
}
