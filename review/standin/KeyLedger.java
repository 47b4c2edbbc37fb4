import java.util.Arrays;

/** Which upstreams hold each key, as the upstreams themselves see it. Thread safe. */
final class KeyLedger {
    private final int[] holders = new int[Upstream.KEYS];
    private final long[] overlapSinceNanos = new long[Upstream.KEYS];
    private final int[] beganInOverlap = new int[Upstream.KEYS];
    private final long[] highestFence = new long[Upstream.KEYS];
    private final int[] highestFenceHolder = new int[Upstream.KEYS];
    private final Record record;

    double longestOverlapS;
    int keysHeldTwiceTooLong;
    int keysBegunTwice;
    int fencesNotAbove;

    KeyLedger(Record record) {
        this.record = record;
        Arrays.fill(highestFenceHolder, -1);
    }

    synchronized void taken(int upstream, int key, long fence, long nowNanos) {
        if (highestFenceHolder[key] != upstream && highestFenceHolder[key] >= 0 && fence <= highestFence[key]) {
            fencesNotAbove++;
            record.line("fence-not-above upstream=i-" + upstream + " key=" + key + " fence=" + fence + " seen="
                    + highestFence[key] + " by=i-" + highestFenceHolder[key]);
        }
        if (fence >= highestFence[key]) {
            highestFence[key] = fence;
            highestFenceHolder[key] = upstream;
        }
        holders[key] |= 1 << upstream;
        if (Integer.bitCount(holders[key]) == 2) {
            overlapSinceNanos[key] = nowNanos;
            beganInOverlap[key] = 0;
        }
    }

    synchronized void given(int upstream, int key, long nowNanos) {
        if (Integer.bitCount(holders[key]) == 2 && (holders[key] & 1 << upstream) != 0) {
            double seconds = (nowNanos - overlapSinceNanos[key]) / 1e9;
            if (seconds > longestOverlapS) {
                longestOverlapS = seconds;
                record.line(String.format(
                        "overlap key=%d holders=%s seconds=%.3f", key, Integer.toBinaryString(holders[key]), seconds));
            }
            keysHeldTwiceTooLong += seconds > 0.5 ? 1 : 0;
        }
        holders[key] &= ~(1 << upstream);
    }

    synchronized boolean allHeld() {
        return Arrays.stream(holders).allMatch(mask -> mask != 0);
    }

    synchronized void begun(int upstream, int key, String requestId) {
        if (Integer.bitCount(holders[key]) >= 2) {
            int before = beganInOverlap[key];
            beganInOverlap[key] |= 1 << upstream;
            if (Integer.bitCount(before) == 1 && Integer.bitCount(beganInOverlap[key]) == 2) {
                keysBegunTwice++;
                record.line("both-begin key=" + key + " request=" + requestId + " upstream=i-" + upstream);
            }
        }
    }
}
