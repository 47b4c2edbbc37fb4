package org.coriandercrank.kernel.backend;

/** What a call to a backend server tells of its process. */
public enum ProbeResult {
    /** It answered, whatever the answer was. */
    ANSWERED,

    /** Nothing listens at its address. */
    REFUSED,

    /** There was no answer in time; the process may be suspended, cut off or busy. */
    SILENT
}
