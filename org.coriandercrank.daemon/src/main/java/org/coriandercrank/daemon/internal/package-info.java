/** Internals of the daemon: assembly of its components, settings, and failure detection of the backend server. */
package org.coriandercrank.daemon.internal;
