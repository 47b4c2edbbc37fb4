/** Settings, workloads, the open-loop driver and report files of {@code crank-load}. */
package org.coriandercrank.load.internal;
