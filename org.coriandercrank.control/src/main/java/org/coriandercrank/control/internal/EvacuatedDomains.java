package org.coriandercrank.control.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Set;
import java.util.TreeSet;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.store.StoredObject;

/**
 * The failure domains that the operator evacuates, from the objects under {@code evacuations/}. Control thread only.
 *
 * <p>An entry evacuates the domain that it is named after, if its name is that of a failure domain and its content is a
 * JSON object. The fields of the object have no meaning.
 */
final class EvacuatedDomains {
    private final ControlContext context;
    private final Set<FailureDomain> domains = new TreeSet<>();

    EvacuatedDomains(ControlContext context) {
        this.context = context;
    }

    Set<FailureDomain> domains() {
        return domains;
    }

    /**
     * Applies a new or changed entry, or the deletion of one. Throws an exception if it cannot be read; the domain is
     * then no longer evacuated, because its last readable content is not what the operator asks for.
     */
    void apply(StoredObject change) {
        FailureDomain domain = new FailureDomain(change.name().substring(ObjectNames.EVACUATIONS_PREFIX.length()));
        if (change.deleted()) {
            remove(domain, change);
            return;
        }
        boolean readable = false;
        try {
            readable = JsonCodec.decode(change.value(), JsonNode.class).isObject();
        } finally {
            if (!readable) {
                remove(domain, change);
            }
        }
        if (!readable) {
            throw new IllegalArgumentException("the content of an evacuation must be a JSON object");
        }
        if (domains.add(domain)) {
            log(domain, "begun", change);
        }
    }

    private void remove(FailureDomain domain, StoredObject change) {
        if (domains.remove(domain)) {
            log(domain, "ended", change);
        }
    }

    private void log(FailureDomain domain, String state, StoredObject change) {
        context.log(() -> "event=evacuation domain=" + domain + " state=" + state + " revision=" + change.revision());
    }
}
