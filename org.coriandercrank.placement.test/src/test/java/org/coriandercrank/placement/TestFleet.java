package org.coriandercrank.placement;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.coriandercrank.kernel.config.BackendRule;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.id.FailureDomain;
import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.id.Region;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.table.BackendInfo;
import org.coriandercrank.kernel.table.Member;
import org.coriandercrank.kernel.table.MemberState;

/** Creates members and configurations for tests. Stateless. */
public final class TestFleet {
    public static final ServiceName SERVICE = new ServiceName("counter-desk");
    private static final HostAddress ADDRESS = new HostAddress("127.0.0.1", 0);

    private TestFleet() {}

    public static Member member(int number, MemberState state) {
        return member(number, state, new FailureDomain("montego"));
    }

    public static Member member(int number, MemberState state, FailureDomain domain) {
        String name = String.format("server-%03d", number);
        BackendInfo backend = new BackendInfo(name, SERVICE, ADDRESS, 18, 110, Set.of());
        return new Member(
                new MemberId(name),
                ADDRESS,
                ADDRESS,
                ADDRESS,
                new Region("cornwall"),
                domain,
                state,
                Optional.of(backend),
                List.of());
    }

    public static Configuration configuration(BackendRule... rules) {
        return new Configuration(List.of(ServiceConfig.withDefaults(SERVICE, true)), List.of(rules), List.of());
    }
}
