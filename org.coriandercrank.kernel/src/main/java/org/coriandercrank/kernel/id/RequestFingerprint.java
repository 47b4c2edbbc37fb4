package org.coriandercrank.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Identifies requests that are the same although each has an id of its own: 48 bits of a digest of the content and 16 bits
 * of a digest of the caller. Different callers may have the same 16 bits. Immutable.
 *
 * @param value digest of the content in the lower 48 bits, of the caller in the upper 16; those are 0 for any caller
 */
public record RequestFingerprint(long value) {
    private static final int CONTENT_BITS = 48;
    private static final long CONTENT_MASK = (1L << CONTENT_BITS) - 1;

    /**
     * Returns the fingerprint of a request.
     *
     * @param caller who sent the request; empty if the protocol does not tell
     * @param identity what distinguishes the request besides caller and body, such as method and path, in a fixed order
     */
    public static RequestFingerprint of(String caller, List<String> identity, byte[] body) {
        Hasher hasher = Hashing.sha256().newHasher();
        for (String part : identity) {
            hasher.putInt(part.length()).putString(part, StandardCharsets.UTF_8);
        }
        long content = hasher.putBytes(body).hash().asLong() & CONTENT_MASK;
        return new RequestFingerprint(callerDigest(caller) << CONTENT_BITS | content);
    }

    /** Returns 16 bits other than 0 for a caller, 0 for none. */
    private static long callerDigest(String caller) {
        return caller.isEmpty()
                ? 0
                : Math.max(
                        1,
                        Hashing.sha256()
                                        .hashString(caller, StandardCharsets.UTF_8)
                                        .asLong()
                                >>> CONTENT_BITS);
    }

    /** Parses 1 to 16 hexadecimal digits. */
    @JsonCreator
    public static RequestFingerprint parse(String hex) {
        return new RequestFingerprint(Long.parseUnsignedLong(hex, 16));
    }

    /** Digest of the caller; 0 if the fingerprint covers any caller. */
    public long caller() {
        return value >>> CONTENT_BITS;
    }

    /** Returns the fingerprint of requests with the same content, whoever sent them. */
    public RequestFingerprint ofAnyCaller() {
        return new RequestFingerprint(value & CONTENT_MASK);
    }

    @JsonValue
    @Override
    public String toString() {
        return Long.toHexString(value);
    }
}
