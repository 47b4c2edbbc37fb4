package org.coriandercrank.gate.internal;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.coriandercrank.kernel.request.CallerRequest;

/** Computes a digest of the method, path and body of a request. Stateless. */
public final class RequestDigest {
    private RequestDigest() {}

    /** Returns the digest; it is the same on every daemon, because outcome records are passed on between daemons. */
    public static long of(CallerRequest request) {
        return Hashing.sha256()
                .newHasher()
                .putInt(request.method().length())
                .putString(request.method(), StandardCharsets.UTF_8)
                .putInt(request.path().length())
                .putString(request.path(), StandardCharsets.UTF_8)
                .putBytes(request.body())
                .hash()
                .asLong();
    }
}
