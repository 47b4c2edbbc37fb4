/** Tests of the pure decisions and state machines of placement. */
package org.coriandercrank.placement.internal;
