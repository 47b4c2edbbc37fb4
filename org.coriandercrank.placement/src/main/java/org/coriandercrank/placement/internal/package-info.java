/** Pure decisions and state machines of placement; not for use by other modules. */
package org.coriandercrank.placement.internal;
