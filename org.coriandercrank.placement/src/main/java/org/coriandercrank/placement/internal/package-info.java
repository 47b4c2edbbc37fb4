/** Decisions and state machines of placement, and their access to the store; internal to this module. */
package org.coriandercrank.placement.internal;
