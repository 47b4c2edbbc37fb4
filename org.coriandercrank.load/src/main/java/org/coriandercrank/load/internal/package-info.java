/** Workload, open-loop driver and reports. */
package org.coriandercrank.load.internal;
