package org.coriandercrank.scheduling.link;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.kernel.time.TimerService;

/**
 * The link on which this host sends. Long messages are sent in pieces, below the rate of the link, so that nothing waits
 * in the network and a short message waits for one piece at most, on whatever connection it is sent.
 *
 * <p>Long messages share the link in the order in which they are due: a message is due at its start plus a multiple of
 * the time that it takes alone. So a shorter one goes first, and a longer one cannot be delayed without end. Bytes of
 * short messages are sent at once and reduce what is left for the long ones.
 *
 * <p>Thread safe. Senders are called on the thread that starts a message, or on that of the timer service, and without a
 * lock of this class.
 */
public final class Uplink {
    /** A link whose rate is not known: every message counts as short, and nothing is delayed. */
    public static final Uplink UNLIMITED = new Uplink();

    /** Writes a long message; the bytes of one message are sent in order. */
    public interface Sender {
        /** Whether the previous piece has left the process; {@link #onReady} is called when that changes to true. */
        boolean isReady();

        /** Sends the next bytes of the message. */
        void send(int bytes);
    }

    /** A long message that is not sent completely. */
    public final class Transfer {
        private final Sender sender;
        private final long dueNanos;
        private long remainingBytes;
        private boolean blocked;
        private long blockedSinceNanos;

        private Transfer(Sender sender, long bytes, long dueNanos) {
            this.sender = sender;
            this.remainingBytes = bytes;
            this.dueNanos = dueNanos;
        }

        /** Notes whether the sender takes the piece that the link is free for. */
        private boolean isReady(long nowNanos) {
            boolean ready = sender.isReady();
            if (!ready && !blocked) {
                blockedSinceNanos = nowNanos;
            }
            blocked = !ready;
            return ready;
        }

        private boolean isStalled(long nowNanos) {
            return blocked && !sender.isReady() && nowNanos - blockedSinceNanos > STALL_NANOS;
        }

        /** Ends the transfer before its last byte; no effect after it. */
        public void cancel() {
            remove(this);
        }
    }

    private record Piece(Sender sender, int bytes) {}

    /** Part of the rate that messages of this process may use; the rest is for headers and other processes. */
    private static final double USABLE_SHARE = 0.9;

    /** Time that the link takes for one piece. */
    private static final long PIECE_MS = 10;

    private static final int MIN_PIECE_BYTES = 4_096;

    /** A message is due after this multiple of the time that it takes alone. */
    private static final int DUE_FACTOR = 4;

    /** A timer that fires late by up to this time costs no throughput. */
    private static final long MAX_CREDIT_NANOS = TimeUnit.MILLISECONDS.toNanos(2 * PIECE_MS);

    /** Short messages delay the long ones by this time at most, so that these go on in any case. */
    private static final long MAX_DEBT_NANOS = TimeUnit.MILLISECONDS.toNanos(10 * PIECE_MS);

    /** A message whose receiver has taken nothing for this time does not count as work of the link. */
    private static final long STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final long IDLE_POLL_MS = 20;

    private static final double BITS_PER_BYTE = 8;

    /** Null if the rate is not known. */
    private final TimerService timers;

    private final double bytesPerMs;
    private final int pieceBytes;

    /** Guards the fields below. */
    private final Object lock = new Object();

    private final List<Transfer> transfers = new ArrayList<>();
    /** Time at which all bytes sent so far have left the host. */
    private long freeAtNanos;

    private boolean wakeUpScheduled;

    private Uplink() {
        timers = null;
        bytesPerMs = Double.POSITIVE_INFINITY;
        pieceBytes = Integer.MAX_VALUE;
    }

    /**
     * @param megabitsPerSecond rate of the link
     * @param timers calls the senders on the thread of its timers
     */
    public Uplink(double megabitsPerSecond, TimerService timers) {
        if (!(megabitsPerSecond > 0)) {
            throw new IllegalArgumentException("megabitsPerSecond must be positive");
        }
        this.timers = timers;
        double linkBytesPerMs = megabitsPerSecond * TimeUnit.SECONDS.toMillis(1) / BITS_PER_BYTE;
        bytesPerMs = USABLE_SHARE * linkBytesPerMs;
        pieceBytes = (int) Math.min(Integer.MAX_VALUE, Math.max(MIN_PIECE_BYTES, PIECE_MS * linkBytesPerMs));
        freeAtNanos = timers.clock().nowNanos();
    }

    /** Whether a message must be sent with {@link #start}, because it is longer than a piece. */
    public boolean isLong(long bytes) {
        return bytes > pieceBytes;
    }

    /** Notes a message that is sent without waiting. */
    public void onShortMessage(int bytes) {
        if (timers == null) {
            return;
        }
        synchronized (lock) {
            long nowNanos = timers.clock().nowNanos();
            occupy(bytes, nowNanos);
            if (freeAtNanos - nowNanos > MAX_DEBT_NANOS) {
                freeAtNanos = nowNanos + MAX_DEBT_NANOS;
            }
        }
    }

    /** Starts to send a message; the sender is called, possibly at once, until all bytes are sent. */
    public Transfer start(long bytes, Sender sender) {
        if (timers == null || bytes <= 0) {
            throw new IllegalArgumentException("the message is not long");
        }
        Transfer transfer;
        synchronized (lock) {
            long dueNanos = timers.clock().nowNanos() + DUE_FACTOR * transferNanos(bytes);
            transfer = new Transfer(sender, bytes, dueNanos);
            transfers.add(transfer);
            transfers.sort(Comparator.comparingLong(waiting -> waiting.dueNanos - dueNanos));
        }
        sendPieces();
        return transfer;
    }

    /** Continues with the messages of a sender that has become ready. */
    public void onReady() {
        sendPieces();
    }

    /** Completes when the last piece of all long messages was passed to its sender, except stalled ones. */
    public CompletableFuture<Void> whenIdle() {
        CompletableFuture<Void> idle = new CompletableFuture<>();
        completeWhenIdle(idle);
        return idle;
    }

    private void completeWhenIdle(CompletableFuture<Void> idle) {
        if (backlogBytes() == 0) {
            idle.complete(null);
        } else {
            timers.once(IDLE_POLL_MS, Runnable::run, () -> completeWhenIdle(idle));
        }
    }

    /** Bytes of long messages that are not sent yet, without those whose receivers have taken nothing for a while. */
    public long backlogBytes() {
        synchronized (lock) {
            long bytes = 0;
            for (Transfer transfer : transfers) {
                bytes += transfer.isStalled(timers.clock().nowNanos()) ? 0 : transfer.remainingBytes;
            }
            return bytes;
        }
    }

    /** Time in milliseconds in which the link sends a number of bytes if nothing else is sent. */
    public double transferMs(double bytes) {
        return bytes / bytesPerMs;
    }

    private long transferNanos(long bytes) {
        return (long) (transferMs((double) bytes) * TimeUnit.MILLISECONDS.toNanos(1));
    }

    private void remove(Transfer transfer) {
        synchronized (lock) {
            transfers.remove(transfer);
        }
    }

    private void occupy(long bytes, long nowNanos) {
        long earliestNanos = nowNanos - MAX_CREDIT_NANOS;
        freeAtNanos = (freeAtNanos - earliestNanos < 0 ? earliestNanos : freeAtNanos) + transferNanos(bytes);
    }

    private void sendPieces() {
        for (Piece piece = nextPiece(); piece != null; piece = nextPiece()) {
            piece.sender().send(piece.bytes());
        }
    }

    /** The next piece, if the link is free for it and a sender is ready; schedules a wake-up if the link is not free. */
    private Piece nextPiece() {
        synchronized (lock) {
            if (transfers.isEmpty()) {
                return null;
            }
            long nowNanos = timers.clock().nowNanos();
            if (freeAtNanos - nowNanos > 0) {
                wakeUpAfter(freeAtNanos - nowNanos);
                return null;
            }
            for (Transfer transfer : transfers) {
                if (transfer.isReady(nowNanos)) {
                    return take(transfer, nowNanos);
                }
            }
            return null;
        }
    }

    private Piece take(Transfer transfer, long nowNanos) {
        int bytes = (int) Math.min(pieceBytes, transfer.remainingBytes);
        transfer.remainingBytes -= bytes;
        if (transfer.remainingBytes == 0) {
            transfers.remove(transfer);
        }
        occupy(bytes, nowNanos);
        return new Piece(transfer.sender, bytes);
    }

    private void wakeUpAfter(long delayNanos) {
        if (!wakeUpScheduled) {
            wakeUpScheduled = true;
            timers.once(Math.max(1, TimeUnit.NANOSECONDS.toMillis(delayNanos)), Runnable::run, this::onWakeUp);
        }
    }

    private void onWakeUp() {
        synchronized (lock) {
            wakeUpScheduled = false;
        }
        sendPieces();
    }
}
