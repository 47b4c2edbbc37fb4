package org.coriandercrank.control.test;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.coriandercrank.kernel.id.MemberId;
import org.coriandercrank.kernel.store.ObjectNames;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a member record of another writer that keeps daemons from following all later changes. */
class OddMemberTest {
    private static final MemberId ODD = new MemberId("odd");
    private static final long SETTLE_MS = 6_000;
    private static final String ADDRESSES =
            "'peerAddress':'127.0.0.1:9','callerAddress':'127.0.0.1:9','adminAddress':'127.0.0.1:9',";
    private static final String PLACE = "'region':'r','failureDomain':'r-a',";

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "{" + ADDRESSES + PLACE + "'state':'ACTIVE','witnesses':[]}",
                "{'id':'odd'," + PLACE + "'state':'ACTIVE','witnesses':[]}",
                "{'id':'odd','peerAddress':'127.0.0.1:70000'," + PLACE + "'state':'ACTIVE','witnesses':[]}",
                "{'id':'odd'," + ADDRESSES + "'state':'ACTIVE','witnesses':[]}",
                "{'id':'odd'," + ADDRESSES + "'region':'r','state':'ACTIVE','witnesses':[]}",
                "{'id':'odd'," + ADDRESSES + PLACE + "'witnesses':[]}",
                "{'id':'odd'," + ADDRESSES + PLACE + "'state':'SLEEPING','witnesses':[]}",
                "{'id':'odd'," + ADDRESSES + PLACE + "'state':'ACTIVE'}",
                "{'id':'odd'," + ADDRESSES + PLACE + "'state':'ACTIVE','witnesses':[null]}",
                "{'id':'odd'," + ADDRESSES + PLACE + "'state':'ACTIVE','witnesses':[],'crashReports':{}}",
                "{'id':'odd'," + ADDRESSES + PLACE
                        + "'state':'ACTIVE','witnesses':[],'crashReports':{'reports':[null]}}",
                "{'id':'odd'," + ADDRESSES + PLACE + "'state':'ACTIVE','witnesses':[],'backend':{}}",
                "{'id':'odd'," + ADDRESSES + PLACE
                        + "'state':'ACTIVE','witnesses':[],'backend':{'name':'b','service':'cardfront','address':'127.0.0.1:1',"
                        + "'slots':2147483647,'maxConnections':2147483647,'capabilities':[]}}",
                "{'id':'odd'," + ADDRESSES + PLACE + "'state':'ACTIVE','witnesses':['odd','odd','nobody']}"
            })
    void daemonsFollowLaterChanges(String odd) {
        FakeCluster cluster = new FakeCluster("r/a", "r/a", "r/b", "r/b", "r/a");
        cluster.store()
                .putUnconditionally(
                        ObjectNames.member(ODD), odd.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
        cluster.time().runFor(SETTLE_MS);
        FakeHost added = cluster.add("r/b");
        cluster.time().runFor(SETTLE_MS);
        assertThat(cluster.hosts()).allSatisfy(host -> {
            assertThat(host.isLeaseValid()).isTrue();
            assertThat(host.control().routing().current().member(added.control().self()))
                    .isPresent();
        });
    }
}
