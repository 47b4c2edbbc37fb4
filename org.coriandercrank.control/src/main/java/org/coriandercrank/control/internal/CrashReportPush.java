package org.coriandercrank.control.internal;

import java.util.List;
import java.util.Optional;
import org.coriandercrank.kernel.id.Revision;
import org.coriandercrank.kernel.message.FetchObject;
import org.coriandercrank.kernel.message.ObjectData;
import org.coriandercrank.kernel.ownership.VersionedMember;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.kernel.store.ObjectNames;
import org.coriandercrank.kernel.store.StoredObject;
import org.coriandercrank.kernel.table.CrashReports;

/**
 * Sends the own record to the other members when its crash reports are new: they must learn of them within seconds even
 * if the relay of their region has just failed. In a larger cluster the rest learn of them as of every change. Control
 * thread only.
 */
final class CrashReportPush {
    private final ControlContext context;
    private final ClusterView view;
    private Optional<CrashReports> pushedReports = Optional.empty();

    CrashReportPush(ControlContext context, ClusterView view) {
        this.context = context;
        this.view = view;
    }

    /** Handles a write of the own record that took effect. */
    void recordWritten(VersionedMember written) {
        Optional<CrashReports> writtenReports = written.member().crashReports();
        if (writtenReports.isEmpty() || writtenReports.equals(pushedReports)) {
            return;
        }
        pushedReports = writtenReports;
        StoredObject object = StoredObject.of(
                ObjectNames.member(written.member().id()), written.revision(), JsonCodec.encode(written.member()));
        MemberPush.send(context, view, new ObjectData(FetchObject.Kind.MEMBERS, Revision.NONE, false, List.of(object)));
    }
}
