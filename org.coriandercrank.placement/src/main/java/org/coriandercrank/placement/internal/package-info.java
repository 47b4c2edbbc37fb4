/** Placement decisions and state machines, free of I/O where possible; internal to this module. */
package org.coriandercrank.placement.internal;
