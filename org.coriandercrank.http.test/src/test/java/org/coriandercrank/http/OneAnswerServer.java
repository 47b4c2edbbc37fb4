package org.coriandercrank.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.id.HostAddress;

/**
 * Answers the request on its first connection with given bytes and reads on until the client closes; answers each later
 * connection with a valid response. Thread safe, one thread for all connections.
 */
final class OneAnswerServer implements AutoCloseable {
    static final String NEXT_BODY = "next";

    private static final String NEXT_ANSWER =
            "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 4\r\n\r\n" + NEXT_BODY;

    private final ServerSocket listener;
    private final CountDownLatch firstClosed = new CountDownLatch(1);

    /** @param closes whether the server ends the first connection after the given bytes */
    OneAnswerServer(byte[] answer, boolean closes) throws IOException {
        listener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(() -> serve(answer, closes), "one-answer-server");
        thread.setDaemon(true);
        thread.start();
    }

    HostAddress address() {
        return new HostAddress("127.0.0.1", listener.getLocalPort());
    }

    /** Waits until the client has closed the first connection; returns whether it did in the given time. */
    boolean clientClosed(long timeoutMs) throws InterruptedException {
        return firstClosed.await(timeoutMs, TimeUnit.MILLISECONDS);
    }

    private void serve(byte[] answer, boolean closes) {
        try {
            answerFirst(answer, closes);
            firstClosed.countDown();
            while (true) {
                try (Socket socket = listener.accept()) {
                    socket.getInputStream().read(new byte[4_096]);
                    socket.getOutputStream().write(NEXT_ANSWER.getBytes(ISO_8859_1));
                }
            }
        } catch (IOException e) {
            // The listener was closed.
        }
    }

    private void answerFirst(byte[] answer, boolean closes) throws IOException {
        try (Socket socket = listener.accept()) {
            byte[] input = new byte[4_096];
            if (socket.getInputStream().read(input) <= 0) {
                return;
            }
            socket.getOutputStream().write(answer);
            if (closes) {
                socket.shutdownOutput();
            }
            while (socket.getInputStream().read(input) > 0) {
                // Reads until the client closes.
            }
        } catch (java.net.SocketException e) {
            // The client reset the connection.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
