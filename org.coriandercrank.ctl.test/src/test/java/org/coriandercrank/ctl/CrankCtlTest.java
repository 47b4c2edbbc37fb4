package org.coriandercrank.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.ctl.CtlTestCluster.CommandResult;
import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.id.Key;
import org.coriandercrank.kernel.id.KeyHash;
import org.coriandercrank.kernel.ownership.GateStatus.ServingRange;
import org.coriandercrank.kernel.table.KeyRange;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against changes of exit codes and JSON fields that break scripts, and against incomplete lists of errors. */
class CrankCtlTest {
    private static final String FIRST_NOTE = """
            {"id":"first","basedOn":0,"add":{"services":[{"name":"counter-desk","keyed":true}]}}""";
    private static final int EXIT_NOTE_REJECTED = 3;
    private static final int EXIT_NOT_IN_FORCE = 5;
    private static final int EXIT_STORE_UNAVAILABLE = 6;
    private static final long VALID_LEASE_MS = 900;
    private static final long EXPIRED_LEASE_MS = -5;

    @TempDir
    Path directory;

    private CtlTestCluster cluster;
    private long revision;

    @BeforeEach
    void start() {
        cluster = new CtlTestCluster(directory);
        CommandResult result = cluster.run("note submit --json=true --wait-ms=0", FIRST_NOTE);
        revision = result.json().path("result").path("revision").asLong();
        cluster.setDaemonStatus(
                revision,
                VALID_LEASE_MS,
                List.of(new ServingRange(CtlTestCluster.OWNED_RANGE, CtlTestCluster.OWNER_FENCE)));
    }

    @AfterEach
    void stop() {
        cluster.close();
    }

    /** Returns a note that is based on a revision and adds a backend rule with its id as the backend name. */
    private String noteText(String id, long basedOn) {
        return "{\"id\":\"" + id + "\",\"basedOn\":" + basedOn + ",\"add\":{\"backends\":[{\"backendName\":\"" + id
                + "\"}]}}";
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            status                                          | 0
            members                                         | 0
            owners                                          | 0
            note list                                       | 0
            note show --note=first                          | 0
            note status --note=first                        | 0
            explain --service=counter-desk --key=k          | 0
            ''                                              | 2
            stat                                            | 2
            status --no-such-flag=1                         | 2
            status --json=perhaps                           | 2
            status --timeout-ms=0                           | 2
            status --store=here                             | 2
            status --store-adapter=none                     | 2
            explain                                         | 2
            explain --service=a/b --key=k                   | 2
            note show                                       | 2
            note show --note=a/b                            | 2
            note show --note=absent                         | 3
            note status --note=absent                       | 3
            note submit --file=/no/such/file                | 3
            status --store=127.0.0.1:1                      | 6
            note list --store=127.0.0.1:1                   | 6
            """)
    void exitCodes(String commandLine, int expected) {
        assertThat(cluster.run(commandLine).exitCode()).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            note check          | {"id":"n","basedOn":R,"add":{"backends":[{"backendName":"b"}]}}  | 0 | OK
            note diff           | {"id":"n","basedOn":R,"add":{"backends":[{"backendName":"b"}]}}  | 0 | OK
            note submit         | {"id":"n","basedOn":R,"add":{"backends":[{"backendName":"b"}]}}  | 5 | NOTE_NOT_IN_FORCE
            note submit --wait-ms=0 | {"id":"n","basedOn":R,"add":{"backends":[{"backendName":"b"}]}} | 0 | OK
            note check          | {"id":"n","basedOn":0,"add":{"backends":[{"backendName":"b"}]}}  | 4 | NOTE_CONFLICT
            note submit         | {"id":"n","basedOn":0,"add":{"backends":[{"backendName":"b"}]}}  | 4 | NOTE_CONFLICT
            note check          | {"id"                                                            | 3 | NOTE_UNREADABLE
            note submit         | {"id"                                                            | 3 | NOTE_UNREADABLE
            note diff           | {"id":"n","basedOn":R,"withdraw":{"backends":["b"]}}             | 3 | NOTE_INVALID
            note check          | {"id":"n","basedOn":R,"withdraw":{"backends":["b"]}}             | 3 | NOTE_INVALID
            note submit         | {"id":"n","basedOn":R,"withdraw":{"backends":["b"]}}             | 3 | NOTE_INVALID
            note submit         | {"id":"first","basedOn":R,"add":{"backends":[{"backendName":"b"}]}} | 3 | NOTE_ID_REUSED
            """)
    void exitCodesOfNotes(String commandLine, String text, int exitCode, String name) {
        String note = text.replace(":R", ":" + revision);
        CommandResult result = cluster.run(
                commandLine + (commandLine.contains("wait") ? "" : " --wait-ms=250") + " --json=true", note);

        assertThat(result.exitCode()).isEqualTo(exitCode);
        assertThat(result.json().path("name").asText()).isEqualTo(name);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            status                                  | configuration members
            members                                 | id peerAddress callerAddress adminAddress region failureDomain state backend witnesses
            owners                                  | service generation assignments
            explain --service=counter-desk --key=k  | service key range owner fence previousOwners served reason
            note list                               | id fate basedOn accepted text
            note show --note=first                  | id fate basedOn accepted text
            note status                             | revision inForce live missing unreachable
            status --store=127.0.0.1:1              | message
            note show --note=absent                 | found
            """)
    void jsonHasStableFields(String commandLine, String fields) {
        JsonNode json = cluster.run(commandLine + " --json=true").json();

        assertThat(fieldNames(json)).containsExactly("code", "name", "result");
        JsonNode result = json.path("result");
        assertThat(fieldNames(result.isArray() ? result.path(0) : result)).containsExactly(fields.split(" "));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            note check                  | R | valid revision
            note check                  | 0 | revision newerNotes
            note submit                 | 0 | revision newerNotes
            note submit --wait-ms=0     | R | code revision faults newerNotes
            note submit --wait-ms=150   | R | revision inForce live missing unreachable
            """)
    void jsonOfNotesHasStableFields(String commandLine, String basedOn, String fields) {
        CommandResult result =
                cluster.run(commandLine + " --json=true", noteText("n", "R".equals(basedOn) ? revision : 0));

        assertThat(fieldNames(result.json().path("result"))).containsExactly(fields.split(" "));
    }

    private static List<String> fieldNames(JsonNode object) {
        List<String> names = new ArrayList<>();
        object.fieldNames().forEachRemaining(names::add);
        return names;
    }

    @Test
    void reportsAllSettingErrorsTogether() {
        CommandResult result = cluster.run("status --store=here --timeout-ms=0 --wait-ms=-1 --service=a/b --surplus=1");

        assertThat(result.err()).contains("--store:", "--timeout-ms:", "--wait-ms:", "--service:", "--surplus");
    }

    @ParameterizedTest
    @CsvSource({"note check", "note submit", "note diff"})
    void reportsAllErrorsOfANoteTogether(String commandLine) {
        CommandResult result = cluster.run(
                commandLine,
                "{\"id\":\"n\",\"basedOn\":" + revision + ",\"change\":{\"services\":[{\"name\":\"counter-desk\","
                        + "\"maxBodyBytes\":-1,\"locality\":\"near\"},{\"name\":\"absent\"}]},"
                        + "\"withdraw\":{\"services\":[\"counter-desk\"],\"backends\":[\"absent\"]}}");

        assertThat(result.exitCode()).isEqualTo(EXIT_NOTE_REJECTED);
        assertThat(result.out().lines())
                .extracting(text -> text.substring(0, text.indexOf(": ")))
                .containsExactlyInAnyOrder(
                        "change.services[0].maxBodyBytes",
                        "change.services[0].locality",
                        "change.services[1]",
                        "withdraw.services[0]",
                        "withdraw.services[0]",
                        "withdraw.backends[0]");
    }

    /** States of the owner of a key, each with the line that {@code explain} prints. */
    enum OwnerState {
        SERVES("served now: the owner serves the range and its lease is valid"),
        LEASE_EXPIRED("not served now: the lease of the owner is not valid") {
            @Override
            void applyTo(CtlTestCluster cluster) {
                cluster.setDaemonStatus(
                        1,
                        EXPIRED_LEASE_MS,
                        List.of(new ServingRange(CtlTestCluster.OWNED_RANGE, CtlTestCluster.OWNER_FENCE)));
            }
        },
        OTHER_FENCE("not served now: the owner does not serve the range yet") {
            @Override
            void applyTo(CtlTestCluster cluster) {
                cluster.setDaemonStatus(
                        1, VALID_LEASE_MS, List.of(new ServingRange(CtlTestCluster.OWNED_RANGE, new Generation(2))));
            }
        },
        OTHER_RANGE("not served now: the owner does not serve the range yet") {
            @Override
            void applyTo(CtlTestCluster cluster) {
                KeyRange lastHashOnly = new KeyRange(KeyHash.MAX, KeyHash.MAX);
                cluster.setDaemonStatus(
                        1, VALID_LEASE_MS, List.of(new ServingRange(lastHashOnly, CtlTestCluster.OWNER_FENCE)));
            }
        },
        DAEMON_UNAVAILABLE("not served now: the daemon of the owner does not answer") {
            @Override
            void applyTo(CtlTestCluster cluster) {
                cluster.makeDaemonUnavailable();
            }
        };

        private final String expectedLine;

        OwnerState(String expectedLine) {
            this.expectedLine = expectedLine;
        }

        void applyTo(CtlTestCluster cluster) {}
    }

    @ParameterizedTest
    @EnumSource
    void explainsWhetherAKeyIsServed(OwnerState ownerState) {
        ownerState.applyTo(cluster);

        assertThat(cluster.run("explain --service=counter-desk --key=" + key(true))
                        .out())
                .contains("owner desk-1.a since fence 3", ownerState.expectedLine);
    }

    @ParameterizedTest
    @CsvSource({"counter-desk,false", "absent,true"})
    void explainsAKeyWithoutOwner(String service, boolean inOwnedHalf) {
        assertThat(cluster.run("explain --service=" + service + " --key=" + key(inOwnedHalf))
                        .out())
                .contains("has no owner");
    }

    /** Returns a key whose hash is in the half of the hash space that has an owner, or in the other half. */
    private static String key(boolean inOwnedHalf) {
        int number = 0;
        while (CtlTestCluster.OWNED_RANGE.contains(new Key("k" + number).hash()) != inOwnedHalf) {
            number++;
        }
        return "k" + number;
    }

    @Test
    void ownersAndMembersShowTheStoredState() {
        assertThat(cluster.run("owners --service=counter-desk").out())
                .contains("service counter-desk generation 4", "owner=desk-1.a fence=3");
        assertThat(cluster.run("owners --service=absent").out()).isEmpty();
        assertThat(cluster.run("members").out().lines())
                .anySatisfy(line -> assertThat(line).startsWith("desk-1.a ACTIVE cornwall/montego"))
                .anySatisfy(line -> assertThat(line).startsWith("desk-1.former SEALED"));
    }

    @Test
    void noteCommandsShowOnlyAcceptedNotes() {
        cluster.run("note submit --wait-ms=0", noteText("n-2", revision));
        cluster.run("note submit --wait-ms=0", noteText("n-3", revision));

        assertThat(cluster.run("note list").out().lines())
                .containsExactly(
                        "first ACCEPTED at " + revision + " based on 0",
                        "n-2 ACCEPTED at " + (revision + 3) + " based on " + revision);
        assertThat(cluster.run("note show --note=n-2").out()).contains("n-2 ACCEPTED", noteText("n-2", revision));
        assertThat(cluster.run("note diff", noteText("n-4", revision)).out())
                .isEqualTo("+ {\"backendName\":\"n-4\",\"weightPercent\":100,\"drain\":false}\n");
        assertThat(cluster.run("note status --note=first").out()).contains("in force on 1 of 1 daemons");
        assertThat(cluster.run("note status --note=n-2").out())
                .contains("in force on 0 of 1 daemons, missing [desk-1.a]");
    }

    @Test
    void acceptedNoteIsNotInForceWhileTheDaemonIsUnavailable() {
        cluster.makeDaemonUnavailable();
        CommandResult result = cluster.run("note submit --wait-ms=150", noteText("n", revision));

        assertThat(result.exitCode()).isEqualTo(EXIT_NOT_IN_FORCE);
        assertThat(result.out()).contains("in force on 0 of 1 daemons, unreachable [desk-1.a]");
        assertThat(result.err()).contains("accepted at revision " + (revision + 3));
    }

    /** Guards against reporting an accepted note as not run because the store failed after the acceptance. */
    @Test
    void outageAfterAcceptanceIsReportedAsNotInForce() {
        cluster.makeDaemonUnavailable();
        CompletableFuture.runAsync(cluster::stopStore, CompletableFuture.delayedExecutor(500, TimeUnit.MILLISECONDS));
        CommandResult result = cluster.run("note submit --wait-ms=1500 --json=true", noteText("n", revision));

        assertThat(result.exitCode()).isEqualTo(EXIT_NOT_IN_FORCE);
        assertThat(result.json().path("result").path("revision").asLong()).isEqualTo(revision + 3);
        assertThat(result.err()).contains("members not known: STORE_UNAVAILABLE");
    }

    @Test
    void unavailableStoreHasItsOwnExitCode() {
        cluster.stopStore();

        assertThat(cluster.run("note submit", noteText("n", revision)).exitCode())
                .isEqualTo(EXIT_STORE_UNAVAILABLE);
        assertThat(cluster.run("status --json=true").json().path("name").asText())
                .isEqualTo("STORE_UNAVAILABLE");
    }
}
