package org.coriandercrank.gate.internal;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.coriandercrank.kernel.request.CallerRequest;

/** Hash over method, path and body of a request. Stateless. */
public final class RequestDigest {
    private RequestDigest() {}

    /** The same on each daemon, because records move between daemons. */
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
