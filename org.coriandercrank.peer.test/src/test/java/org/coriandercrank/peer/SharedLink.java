package org.coriandercrank.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.coriandercrank.kernel.id.HostAddress;

/**
 * Forwards connections to a daemon. What the daemon sends, on all connections together, passes one link: packets leave in
 * the order in which they came, at the rate of the link, and each connection has a window of bytes that wait in it.
 * Thread safe.
 */
final class SharedLink implements AutoCloseable {
    private static final int PACKET_BYTES = 1_460;
    private static final int WINDOW_PACKETS = 45;

    private record Packet(byte[] bytes, long arrivedNanos, OutputStream receiver, Semaphore window) {}

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private final ServerSocket listener;
    private final HostAddress target;
    private final double bytesPerNano;
    private final BlockingQueue<Packet> packets = new LinkedBlockingQueue<>();

    SharedLink(HostAddress target, double megabitsPerSecond) throws IOException {
        this.target = target;
        bytesPerNano = megabitsPerSecond / 8 / TimeUnit.MICROSECONDS.toNanos(1);
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        start(this::accept);
        start(this::send);
    }

    HostAddress address() {
        return new HostAddress("127.0.0.1", listener.getLocalPort());
    }

    private void accept() throws IOException {
        while (true) {
            Socket client = listener.accept();
            client.setTcpNoDelay(true);
            Socket daemon = new Socket();
            daemon.setReceiveBufferSize(PACKET_BYTES * WINDOW_PACKETS);
            daemon.setTcpNoDelay(true);
            daemon.connect(new InetSocketAddress(target.ip(), target.port()));
            start(() -> client.getInputStream().transferTo(daemon.getOutputStream()));
            start(() -> receive(daemon.getInputStream(), client.getOutputStream()));
        }
    }

    private void receive(InputStream in, OutputStream receiver) throws IOException, InterruptedException {
        Semaphore window = new Semaphore(WINDOW_PACKETS);
        byte[] buffer = new byte[PACKET_BYTES];
        for (int length = in.read(buffer); length > 0; length = in.read(buffer)) {
            window.acquire();
            packets.add(new Packet(Arrays.copyOf(buffer, length), System.nanoTime(), receiver, window));
        }
    }

    private void send() throws InterruptedException {
        long freeAtNanos = System.nanoTime();
        while (true) {
            Packet packet = packets.take();
            freeAtNanos = Math.max(freeAtNanos, packet.arrivedNanos()) + (long) (packet.bytes().length / bytesPerNano);
            for (long waitNanos = freeAtNanos - System.nanoTime(); waitNanos > 0; ) {
                LockSupport.parkNanos(waitNanos);
                waitNanos = freeAtNanos - System.nanoTime();
            }
            packet.window().release();
            try {
                packet.receiver().write(packet.bytes());
            } catch (IOException e) {
                // The receiver closed its connection.
            }
        }
    }

    /** Runs a task that ends when one of its connections is closed. */
    private static void start(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException e) {
                // One of the sides closed the connection.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
