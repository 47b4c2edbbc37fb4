package org.coriandercrank.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.coriandercrank.ctl.CtlSite.Run;
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

/** Guards against exit codes, JSON fields and lists of faults on which scripts of operators cannot rely. */
class CrankCtlTest {
    private static final String FIRST = """
            {"id":"first","basedOn":0,"add":{"services":[{"name":"counter-desk","keyed":true}]}}""";
    private static final int EXIT_NOTE_REFUSED = 3;
    private static final int EXIT_NOT_IN_FORCE = 5;

    @TempDir
    Path directory;

    private CtlSite site;
    private long revision;

    @BeforeEach
    void start() {
        site = new CtlSite(directory);
        Run run = site.run("note submit --json=true --wait-ms=0", FIRST);
        revision = run.json().path("result").path("revision").asLong();
        site.daemonShows(revision, 900, List.of(new ServingRange(CtlSite.OWNED, CtlSite.FENCE)));
    }

    @AfterEach
    void stop() {
        site.close();
    }

    /** A note based on the present revision that adds a backend rule. */
    private String note(String id, long basedOn) {
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
    void exitCodes(String line, int expected) {
        assertThat(site.run(line).exitCode()).isEqualTo(expected);
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
    void exitCodesOfNotes(String line, String text, int exitCode, String name) {
        String note = text.replace(":R", ":" + revision);
        Run run = site.run(line + (line.contains("wait") ? "" : " --wait-ms=250") + " --json=true", note);

        assertThat(run.exitCode()).isEqualTo(exitCode);
        assertThat(run.json().path("name").asText()).isEqualTo(name);
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
    void jsonHasStableFields(String line, String fields) {
        JsonNode json = site.run(line + " --json=true").json();

        assertThat(names(json)).containsExactly("code", "name", "result");
        JsonNode result = json.path("result");
        assertThat(names(result.isArray() ? result.path(0) : result)).containsExactly(fields.split(" "));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            note check                  | R | valid revision
            note check                  | 0 | revision newerNotes
            note submit                 | 0 | revision newerNotes
            note submit --wait-ms=0     | R | code revision faults newerNotes
            note submit --wait-ms=150   | R | revision inForce live missing unreachable
            """)
    void jsonOfNotesHasStableFields(String line, String basedOn, String fields) {
        Run run = site.run(line + " --json=true", note("n", "R".equals(basedOn) ? revision : 0));

        assertThat(names(run.json().path("result"))).containsExactly(fields.split(" "));
    }

    private static List<String> names(JsonNode object) {
        List<String> names = new ArrayList<>();
        object.fieldNames().forEachRemaining(names::add);
        return names;
    }

    @Test
    void reportsAllFaultsOfSettingsAtOnce() {
        Run run = site.run("status --store=here --timeout-ms=0 --wait-ms=-1 --service=a/b --surplus=1");

        assertThat(run.err()).contains("--store:", "--timeout-ms:", "--wait-ms:", "--service:", "--surplus");
    }

    @ParameterizedTest
    @CsvSource({"note check", "note submit", "note diff"})
    void reportsAllFaultsOfANoteAtOnce(String line) {
        Run run = site.run(
                line,
                "{\"id\":\"n\",\"basedOn\":" + revision + ",\"change\":{\"services\":[{\"name\":\"counter-desk\","
                        + "\"maxBodyBytes\":-1,\"locality\":\"near\"},{\"name\":\"absent\"}]},"
                        + "\"withdraw\":{\"services\":[\"counter-desk\"],\"backends\":[\"absent\"]}}");

        assertThat(run.exitCode()).isEqualTo(EXIT_NOTE_REFUSED);
        assertThat(run.out().lines())
                .extracting(text -> text.substring(0, text.indexOf(": ")))
                .containsExactlyInAnyOrder(
                        "change.services[0].maxBodyBytes",
                        "change.services[0].locality",
                        "change.services[1]",
                        "withdraw.services[0]",
                        "withdraw.services[0]",
                        "withdraw.backends[0]");
    }

    /** What the daemon of the owner shows, and what is explained. */
    enum Owner {
        SERVES("served now: the owner serves the range and its lease is valid"),
        LEASE_LAPSED("not served now: the lease of the owner is not valid") {
            @Override
            void set(CtlSite site) {
                site.daemonShows(1, -5, List.of(new ServingRange(CtlSite.OWNED, CtlSite.FENCE)));
            }
        },
        OTHER_FENCE("not served now: the owner does not serve the range yet") {
            @Override
            void set(CtlSite site) {
                site.daemonShows(1, 900, List.of(new ServingRange(CtlSite.OWNED, new Generation(2))));
            }
        },
        OTHER_RANGE("not served now: the owner does not serve the range yet") {
            @Override
            void set(CtlSite site) {
                KeyRange top = new KeyRange(KeyHash.MAX, KeyHash.MAX);
                site.daemonShows(1, 900, List.of(new ServingRange(top, CtlSite.FENCE)));
            }
        },
        SILENT("not served now: the daemon of the owner does not answer") {
            @Override
            void set(CtlSite site) {
                site.daemonDown();
            }
        };

        private final String line;

        Owner(String line) {
            this.line = line;
        }

        void set(CtlSite site) {}
    }

    @ParameterizedTest
    @EnumSource
    void explainsWhetherAKeyIsServed(Owner owner) {
        owner.set(site);

        assertThat(site.run("explain --service=counter-desk --key=" + key(true)).out())
                .contains("owner desk-1.a since fence 3", owner.line);
    }

    @ParameterizedTest
    @CsvSource({"counter-desk,false", "absent,true"})
    void explainsAKeyWithoutOwner(String service, boolean inOwnedHalf) {
        assertThat(site.run("explain --service=" + service + " --key=" + key(inOwnedHalf))
                        .out())
                .contains("has no owner");
    }

    /** A key whose hash is in the half of the hash space that has an owner, or in the other one. */
    private static String key(boolean inOwnedHalf) {
        int number = 0;
        while (CtlSite.OWNED.contains(new Key("k" + number).hash()) != inOwnedHalf) {
            number++;
        }
        return "k" + number;
    }

    @Test
    void ownersAndMembersShowTheStoredState() {
        assertThat(site.run("owners --service=counter-desk").out())
                .contains("service counter-desk generation 4", "owner=desk-1.a fence=3");
        assertThat(site.run("owners --service=absent").out()).isEmpty();
        assertThat(site.run("members").out().lines())
                .anySatisfy(line -> assertThat(line).startsWith("desk-1.a ACTIVE cornwall/montego"))
                .anySatisfy(line -> assertThat(line).startsWith("desk-1.former SEALED"));
    }

    @Test
    void noteCommandsShowAcceptedAndRefusedNotes() {
        site.run("note submit --wait-ms=0", note("n-2", revision));
        site.run("note submit --wait-ms=0", note("n-3", revision));

        assertThat(site.run("note list").out().lines())
                .containsExactly(
                        "first ACCEPTED at " + revision + " based on 0",
                        "n-2 ACCEPTED at " + (revision + 3) + " based on " + revision);
        assertThat(site.run("note show --note=n-2").out()).contains("n-2 ACCEPTED", note("n-2", revision));
        assertThat(site.run("note diff", note("n-4", revision)).out())
                .isEqualTo("+ {\"backendName\":\"n-4\",\"weightPercent\":100,\"drain\":false}\n");
        assertThat(site.run("note status --note=first").out()).contains("in force on 1 of 1 daemons");
        assertThat(site.run("note status --note=n-2").out()).contains("in force on 0 of 1 daemons, missing [desk-1.a]");
    }

    @Test
    void acceptedNoteIsNotInForceWhileTheDaemonIsSilent() {
        site.daemonDown();
        Run run = site.run("note submit --wait-ms=150", note("n", revision));

        assertThat(run.exitCode()).isEqualTo(EXIT_NOT_IN_FORCE);
        assertThat(run.out()).contains("in force on 0 of 1 daemons, unreachable [desk-1.a]");
        assertThat(run.err()).contains("accepted at revision " + (revision + 3));
    }

    /** Guards against an accepted note that is reported as not run because the store failed afterwards. */
    @Test
    void outageAfterAcceptanceIsReportedAsNotInForce() {
        site.daemonDown();
        CompletableFuture.runAsync(site::storeDown, CompletableFuture.delayedExecutor(500, TimeUnit.MILLISECONDS));
        Run run = site.run("note submit --wait-ms=1500 --json=true", note("n", revision));

        assertThat(run.exitCode()).isEqualTo(EXIT_NOT_IN_FORCE);
        assertThat(run.json().path("result").path("revision").asLong()).isEqualTo(revision + 3);
        assertThat(run.err()).contains("members not known: STORE_UNAVAILABLE");
    }

    @Test
    void storeThatIsDownEndsInItsOwnExitCode() {
        site.storeDown();

        assertThat(site.run("note submit", note("n", revision)).exitCode()).isEqualTo(6);
        assertThat(site.run("status --json=true").json().path("name").asText()).isEqualTo("STORE_UNAVAILABLE");
    }
}
