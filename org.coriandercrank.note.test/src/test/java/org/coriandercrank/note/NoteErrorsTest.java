package org.coriandercrank.note;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.coriandercrank.kernel.config.BackendRule;
import org.coriandercrank.kernel.config.CapacityControl;
import org.coriandercrank.kernel.config.Configuration;
import org.coriandercrank.kernel.config.Locality;
import org.coriandercrank.kernel.config.ServiceConfig;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.store.JsonCodec;
import org.coriandercrank.note.NoteApplier.Environment;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against notes that are applied partially, or rejected without a report of every error. */
class NoteErrorsTest {
    private static final ServiceName DESK = new ServiceName("counter-desk");
    private static final Configuration BASE = new Configuration(
            List.of(ServiceConfig.withDefaults(DESK, true)), List.of(new BackendRule("desk-1", 100, false)), List.of());
    private static final Environment ENVIRONMENT =
            new Environment(Set.of(DESK), Set.of("availability", "low-churn"), Set.of("two-choices"));

    private final List<NoteError> errors = new ArrayList<>();

    private Optional<Configuration> apply(String json) {
        NoteParser parser = new NoteParser();
        Optional<ReleaseNote> note = parser.parse(json);
        errors.addAll(parser.errors());
        NoteApplier applier = new NoteApplier(BASE, ENVIRONMENT);
        Optional<Configuration> result = note.flatMap(applier::apply);
        errors.addAll(applier.errors());
        return result;
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            [1]                                                                  |                             | UNREADABLE
            {"id":"n"                                                            |                             | UNREADABLE
            {"basedOn":1,"withdraw":{"backends":["desk-1"]}}                     | id                          | MISSING
            {"id":7,"basedOn":1,"withdraw":{"backends":["desk-1"]}}              | id                          | WRONG_TYPE
            {"id":"n","basedOn":1.5,"withdraw":{"backends":["desk-1"]}}          | basedOn                     | WRONG_TYPE
            {"id":"n","basedOn":1,"withdraw":{"backends":["desk-1"]},"withdraw":{}} |                          | UNREADABLE
            {"id":"n","basedOn":1,"withdraw":{"backends":["desk-1"]}}{}          |                             | UNREADABLE
            {"id":"a b","basedOn":1,"withdraw":{"backends":["desk-1"]}}          | id                          | OUT_OF_RANGE
            {"id":"n","withdraw":{"backends":["desk-1"]}}                        | basedOn                     | MISSING
            {"id":"n","basedOn":"x","withdraw":{"backends":["desk-1"]}}          | basedOn                     | WRONG_TYPE
            {"id":"n","basedOn":1}                                               |                             | EMPTY_NOTE
            {"id":"n","basedOn":1,"remove":{}}                                   | remove                      | UNKNOWN_FIELD
            {"id":"n","basedOn":1,"add":{"servers":[]}}                          | add.servers                 | UNKNOWN_FIELD
            {"id":"n","basedOn":1,"add":{"services":{}}}                         | add.services                | WRONG_TYPE
            {"id":"n","basedOn":1,"add":{"services":["x"]}}                      | add.services[0]             | WRONG_TYPE
            {"id":"n","basedOn":1,"add":{"services":[{"keyed":true}]}}           | add.services[0].name        | MISSING
            {"id":"n","basedOn":1,"add":{"services":[{"name":"x"}]}}             | add.services[0].keyed       | MISSING
            {"id":"n","basedOn":1,"add":{"services":[{"name":"x y","keyed":true}]}} | add.services[0].name     | OUT_OF_RANGE
            {"id":"n","basedOn":1,"add":{"services":[{"name":"counter-desk","keyed":true}]}} | add.services[0] | ALREADY_EXISTS
            {"id":"n","basedOn":1,"change":{"services":[{"name":"x"}]}}          | change.services[0]          | NOT_FOUND
            {"id":"n","basedOn":1,"change":{"services":[{"name":"counter-desk","keyed":false}]}} | change.services[0].keyed | IN_USE
            {"id":"n","basedOn":1,"change":{"services":[{"name":"counter-desk","maxBodyBytes":-1}]}} | change.services[0].maxBodyBytes | OUT_OF_RANGE
            {"id":"n","basedOn":1,"change":{"services":[{"name":"counter-desk","maxBodyBytes":"1"}]}} | change.services[0].maxBodyBytes | WRONG_TYPE
            {"id":"n","basedOn":1,"change":{"services":[{"name":"counter-desk","colour":1}]}} | change.services[0].colour | UNKNOWN_FIELD
            {"id":"n","basedOn":1,"change":{"services":[{"name":"counter-desk","repeatableMethods":["get"]}]}} | change.services[0].repeatableMethods | OUT_OF_RANGE
            {"id":"n","basedOn":1,"change":{"services":[{"name":"counter-desk","defaultDeadlineMs":40000}]}} | change.services[0] | OUT_OF_RANGE
            {"id":"n","basedOn":1,"change":{"services":[{"name":"counter-desk","placementPolicy":"x"}]}} | change.services[0].placementPolicy | NOT_FOUND
            {"id":"n","basedOn":1,"change":{"services":[{"name":"counter-desk","locality":"near"}]}} | change.services[0].locality | OUT_OF_RANGE
            {"id":"n","basedOn":1,"change":{"services":[{"name":"counter-desk","locality":1}]}} | change.services[0].locality | WRONG_TYPE
            {"id":"n","basedOn":1,"change":{"services":[{"name":"counter-desk","locality":null}]}} | change.services[0].locality | WRONG_TYPE
            {"id":"n","basedOn":1,"withdraw":{"services":["counter-desk"]}}      | withdraw.services[0]        | IN_USE
            {"id":"n","basedOn":1,"withdraw":{"backends":["x"]}}                 | withdraw.backends[0]        | NOT_FOUND
            {"id":"n","basedOn":1,"change":{"backends":[{"backendName":"desk-1","drain":1}]}} | change.backends[0].drain | WRONG_TYPE
            {"id":"n","basedOn":1,"change":{"backends":[{"backendName":"desk-1"}]},"withdraw":{"backends":["desk-1"]}} | withdraw.backends[0] | CONFLICTING_ENTRIES
            """)
    void rejectsNoteAndReportsError(String json, String path, NoteError.Kind kind) {
        Optional<Configuration> result = apply(json);

        assertThat(result).isEmpty();
        assertThat(errors).anySatisfy(error -> {
            assertThat(error.path()).isEqualTo(path == null ? "" : path);
            assertThat(error.kind()).isEqualTo(kind);
        });
    }

    @Test
    void reportsAllErrorsTogether() {
        apply("{\"id\":\"n\",\"basedOn\":1,\"change\":{\"services\":[{\"name\":\"counter-desk\","
                + "\"maxBodyBytes\":-1,\"maxQueueLength\":-1}],\"backends\":[{\"backendName\":\"x\"}]}}");

        assertThat(errors).hasSize(3);
    }

    @Test
    void appliesValidNoteCompletely() {
        Configuration result = apply("{\"id\":\"n\",\"basedOn\":1,"
                        + "\"add\":{\"services\":[{\"name\":\"cashbook\",\"keyed\":false}]},"
                        + "\"change\":{\"services\":[{\"name\":\"counter-desk\",\"placementPolicy\":\"low-churn\"}],"
                        + "\"backends\":[{\"backendName\":\"desk-1\",\"drain\":true}]}}")
                .orElseThrow();

        assertThat(result.service(new ServiceName("cashbook")))
                .hasValueSatisfying(service -> assertThat(service.keyed()).isFalse());
        assertThat(result.service(DESK))
                .hasValueSatisfying(
                        service -> assertThat(service.placementPolicy()).isEqualTo("low-churn"));
        assertThat(result.isDraining("desk-1")).isTrue();
        assertThat(result.recentNotes()).hasSize(1);
    }

    @ParameterizedTest
    @CsvSource(
            nullValues = "-",
            value = {"-,DOMAIN_FIRST", "any,ANY", "region-first,REGION_FIRST", "domain-first,DOMAIN_FIRST"})
    void localityOfNoteIsStored(String text, Locality expected) {
        String field = text == null ? "" : ",\"locality\":\"" + text + "\"";
        Configuration result = apply("{\"id\":\"n\",\"basedOn\":1,\"add\":{\"services\":[{\"name\":\"cashbook\","
                        + "\"keyed\":false" + field + "}]}}")
                .orElseThrow();
        Configuration stored = JsonCodec.decode(JsonCodec.encode(result), Configuration.class);

        assertThat(stored).isEqualTo(result);
        assertThat(stored.service(new ServiceName("cashbook")))
                .hasValueSatisfying(service -> assertThat(service.locality()).isEqualTo(expected));
    }

    @ParameterizedTest
    @CsvSource({
        "'\"capacityControl\":\"measured\",\"coldRequestsPerSecond\":8.4', MEASURED, 8.4",
        "'\"coldRequestsPerSecond\":8', REFUSALS, 8",
        "'\"maxBodyBytes\":1', REFUSALS, 0"
    })
    void capacityFieldsOfNoteAreStored(String fields, CapacityControl control, double coldRequestsPerSecond) {
        Configuration result = apply("{\"id\":\"n\",\"basedOn\":1,\"add\":{\"services\":[{\"name\":\"cashbook\","
                        + "\"keyed\":false," + fields + "}]}}")
                .orElseThrow();
        Configuration stored = JsonCodec.decode(JsonCodec.encode(result), Configuration.class);

        assertThat(stored).isEqualTo(result);
        assertThat(stored.service(new ServiceName("cashbook"))).hasValueSatisfying(service -> {
            assertThat(service.capacityControl()).isEqualTo(control);
            assertThat(service.coldRequestsPerSecond()).isEqualTo(coldRequestsPerSecond);
        });
    }

    /** Guards against daemons that cannot read a configuration that was written before the field existed. */
    @Test
    void configurationWithoutLocalityIsRead() {
        String current = new String(JsonCodec.encode(BASE), StandardCharsets.UTF_8);
        String withoutLocality = current.replace(",\"locality\":\"domain-first\"", "")
                .replace(",\"capacityControl\":\"refusals\",\"coldRequestsPerSecond\":0.0", "");

        assertThat(withoutLocality).isNotEqualTo(current);
        assertThat(JsonCodec.decode(withoutLocality.getBytes(StandardCharsets.UTF_8), Configuration.class))
                .isEqualTo(BASE);
    }
}
