package org.coriandercrank.ctl.internal;

import org.coriandercrank.kernel.id.HostAddress;
import org.coriandercrank.kernel.id.Key;
import org.coriandercrank.kernel.id.NoteId;
import org.coriandercrank.kernel.id.ServiceName;
import org.coriandercrank.kernel.settings.Settings;
import org.coriandercrank.kernel.settings.ValidationErrors;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.ExplicitBooleanOptionHandler;

/** Settings of {@code crankctl}. Not thread safe; read-only after loading. */
public final class CtlSettings implements Settings {
    private static final long MAX_TIMEOUT_MS = 600_000;

    @Option(name = "--store", metaVar = "IP:PORT", usage = "address of the object store")
    private String store = "127.0.0.1:7100";

    @Option(name = "--store-adapter", metaVar = "NAME", usage = "name of the store adapter")
    private String storeAdapter = "http";

    @Option(name = "--json", usage = "print JSON", handler = ExplicitBooleanOptionHandler.class)
    private boolean json;

    @Option(name = "--file", metaVar = "PATH", usage = "release note; - for standard input")
    private String file = "-";

    @Option(name = "--wait-ms", metaVar = "MS", usage = "time to wait for a note to be in force; 0: do not wait")
    private long waitInForceMs = 10_000;

    @Option(
            name = "--timeout-ms",
            metaVar = "MS",
            usage = "time after which submitting a note ends although its outcome is unknown")
    private long submitTimeoutMs = 15_000;

    @Option(name = "--store-timeout-ms", metaVar = "MS", usage = "timeout of a call to the store")
    private long storeTimeoutMs = 2_000;

    @Option(name = "--note", metaVar = "ID", usage = "id of a release note")
    private String noteId = "";

    @Option(name = "--service", metaVar = "NAME", usage = "name of a service")
    private String service = "";

    @Option(name = "--key", metaVar = "KEY", usage = "key of a service")
    private String key = "";

    private HostAddress storeAddress;

    @Override
    public void validate(ValidationErrors errors) {
        storeAddress = errors.parse("--store", store, HostAddress::parse);
        errors.requireRange("--wait-ms", waitInForceMs, 0, MAX_TIMEOUT_MS);
        errors.requireRange("--timeout-ms", submitTimeoutMs, 1, MAX_TIMEOUT_MS);
        errors.requireRange("--store-timeout-ms", storeTimeoutMs, 10, 60_000);
        if (!service.isEmpty()) {
            errors.attempt("--service", () -> new ServiceName(service));
        }
        if (!noteId.isEmpty()) {
            errors.attempt("--note", () -> new NoteId(noteId));
        }
        if (!key.isEmpty()) {
            errors.attempt("--key", () -> new Key(key));
        }
    }

    public HostAddress storeHostAddress() {
        return storeAddress;
    }

    public String storeAdapterName() {
        return storeAdapter;
    }

    public boolean printJson() {
        return json;
    }

    public String noteFile() {
        return file;
    }

    long waitInForceMs() {
        return waitInForceMs;
    }

    public long storeTimeoutMs() {
        return storeTimeoutMs;
    }

    long submitTimeoutMs() {
        return submitTimeoutMs;
    }

    String noteId() {
        return noteId;
    }

    String service() {
        return service;
    }

    String key() {
        return key;
    }
}
