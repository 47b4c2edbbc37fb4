/** The timer service and monotonic time. */
package org.coriandercrank.kernel.time;
