/** Timer service and monotonic clocks. */
package org.coriandercrank.kernel.time;
