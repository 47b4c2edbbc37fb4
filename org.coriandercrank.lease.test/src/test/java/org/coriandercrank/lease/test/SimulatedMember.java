package org.coriandercrank.lease.test;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;

/** Creates records of the member whose lease is simulated. Stateless. */
final class SimulatedMember {
    static final MemberId ID = new MemberId("holder");

    private SimulatedMember() {}

    static Member withRandomWitnesses(List<MemberId> ids, int count, Random random) {
        List<MemberId> shuffled = new ArrayList<>(ids);
        Collections.shuffle(shuffled, random);
        return of(shuffled.subList(0, count));
    }

    /** A record with other witnesses, now and then of another number. */
    static Member withChangedWitnesses(List<MemberId> ids, int usualCount, Random random) {
        int count = random.nextInt(4) == 0 ? 2 * random.nextInt(3) : usualCount;
        return withRandomWitnesses(ids, count, random);
    }

    static Member of(List<MemberId> witnessSet) {
        HostAddress address = new HostAddress("127.0.0.1", 1);
        return new Member(
                ID,
                address,
                address,
                address,
                new Region("r"),
                new FailureDomain("d"),
                MemberState.ACTIVE,
                Optional.empty(),
                witnessSet);
    }
}
