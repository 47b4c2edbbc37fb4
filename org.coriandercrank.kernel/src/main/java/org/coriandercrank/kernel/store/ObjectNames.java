package org.coriandercrank.kernel.store;

import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.NoteId;
import org.coriandercrank.kernel.id.ServiceName;

/** Names of this project's objects in the store. Stateless. */
public final class ObjectNames {
    public static final String MEMBERS_PREFIX = "members/";
    public static final String ASSIGNMENTS_PREFIX = "assignments/";
    public static final String CONFIGURATION_PREFIX = "config/";
    public static final String CONFIGURATION = "config/current";
    public static final String EVACUATIONS_PREFIX = "evacuations/";
    public static final String NOTES_PREFIX = "notes/";
    public static final String PLANNER = "planner";

    private ObjectNames() {}

    public static String member(MemberId id) {
        return MEMBERS_PREFIX + id;
    }

    public static String assignments(ServiceName service) {
        return ASSIGNMENTS_PREFIX + service;
    }

    public static String evacuation(FailureDomain domain) {
        return EVACUATIONS_PREFIX + domain;
    }

    public static String note(NoteId id) {
        return NOTES_PREFIX + id;
    }
}
