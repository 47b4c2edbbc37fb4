/**
 * State machines of the lease that a member must hold to serve its key ranges. They use no threads and do no I/O.
 *
 * <p>The <em>holder</em> keeps its lease valid with votes of its <em>witnesses</em>, which acknowledge its heartbeats,
 * and of the object store, which accepts writes of its member record. A <em>taker</em> is a daemon that takes over a
 * member that seems to have failed: it collects refusals, each a promise of a witness not to acknowledge further
 * heartbeats at a record revision, and then seals the member record.
 */
package org.coriandercrank.lease;
