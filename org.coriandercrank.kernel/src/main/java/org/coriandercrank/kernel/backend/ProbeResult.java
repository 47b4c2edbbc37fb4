package org.coriandercrank.kernel.backend;

/** What a probe of a backend server reveals about its process. */
public enum ProbeResult {
    /** The server answered, whatever the status was. */
    ANSWERED,

    /** Nothing listens at the address of the server. */
    REFUSED,

    /** No answer arrived within the timeout; the process may be suspended, unreachable or overloaded. */
    SILENT
}
