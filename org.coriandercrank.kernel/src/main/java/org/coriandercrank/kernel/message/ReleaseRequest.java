package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.table.KeyRange;

/**
 * The new owner of a range asks a previous owner to release it. Immutable.
 *
 * @param generation fencing token of the requester: the generation that assigned the range to it
 */
public record ReleaseRequest(MemberId requester, ServiceName service, KeyRange range, Generation generation)
        implements Message {}
