/** Caller side of a daemon: HTTP server for callers, routing and outcome resolution. */
package org.coriandercrank.ingress;
