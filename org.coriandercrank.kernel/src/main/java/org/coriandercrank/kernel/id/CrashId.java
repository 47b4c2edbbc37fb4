package org.coriandercrank.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Identifies a crash of a backend server: the member of its daemon, and the number of the crash of that member. */
public record CrashId(@JsonValue String value) {
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public CrashId {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("crash id must not be empty");
        }
    }

    /** @param number 1 for the first crash of a server of the member */
    public static CrashId of(MemberId member, int number) {
        return new CrashId(member + "/" + number);
    }

    @Override
    public String toString() {
        return value;
    }
}
