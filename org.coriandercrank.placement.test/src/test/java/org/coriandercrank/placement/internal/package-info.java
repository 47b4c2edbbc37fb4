/** Tests of the decisions and state machines of placement. */
package org.coriandercrank.placement.internal;
