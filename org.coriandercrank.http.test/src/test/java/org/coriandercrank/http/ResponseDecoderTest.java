package org.coriandercrank.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.util.Arrays;
import org.coriandercrank.kernel.id.HostAddress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a check of the status line that depends on how the network splits the bytes. */
class ResponseDecoderTest {
    private static final int MAX_BODY_BYTES = 1_024;

    private static EmbeddedChannel channel() {
        ResponseDecoder decoder = new ResponseDecoder(new RejectedResponses(new HostAddress("127.0.0.1", 1)));
        decoder.expectResponse("GET");
        return new EmbeddedChannel(decoder, new HttpObjectAggregator(MAX_BODY_BYTES));
    }

    private static void write(EmbeddedChannel channel, byte[] bytes, int from, int to) {
        channel.writeInbound(Unpooled.wrappedBuffer(Arrays.copyOfRange(bytes, from, to)));
    }

    @Test
    void validResponseIsReadInTwoPartsOrByteByByte() {
        byte[] response = "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
                .getBytes(US_ASCII);
        for (int cut = 1; cut < response.length; cut++) {
            EmbeddedChannel channel = channel();
            write(channel, response, 0, cut);
            write(channel, response, cut, response.length);
            assertResponses(channel, cut);
        }
        EmbeddedChannel channel = channel();
        for (int i = 0; i < response.length; i++) {
            write(channel, response, i, i + 1);
        }
        assertResponses(channel, 0);
    }

    private static void assertResponses(EmbeddedChannel channel, int cut) {
        for (int status : new int[] {103, 200}) {
            FullHttpResponse response = channel.readInbound();
            assertThat(response.decoderResult().isSuccess()).as("cut at " + cut).isTrue();
            assertThat(response.status().code()).as("cut at " + cut).isEqualTo(status);
            assertThat(response.content().toString(US_ASCII)).isEqualTo(status == 200 ? "ok" : "");
            response.release();
        }
        assertThat(channel.<Object>readInbound()).isNull();
        channel.finishAndReleaseAll();
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 000 X\r\n", "HTTP/1.1 +20 X\r\n", "HTTP/1.1 200 a\u0007b\r\n", "HTTP/1.1 2\r\n"})
    void invalidLineIsRejectedAndCountedAtEachCut(String line) {
        byte[] response =
                (line + "content-length: 0\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").getBytes(ISO_8859_1);
        for (int cut = 1; cut < line.length(); cut++) {
            EmbeddedChannel channel = channel();
            int firstEnd = cut;
            long countBefore = HttpClient.rejectedResponses();
            assertThatThrownBy(() -> {
                        write(channel, response, 0, firstEnd);
                        write(channel, response, firstEnd, response.length);
                    })
                    .isInstanceOf(DecoderException.class);
            assertThat(HttpClient.rejectedResponses()).isEqualTo(countBefore + 1);
            // The valid response behind it must not be read either.
            write(channel, response, line.length(), response.length);
            assertThat(channel.<Object>readInbound()).isNull();
            channel.finishAndReleaseAll();
        }
    }
}
