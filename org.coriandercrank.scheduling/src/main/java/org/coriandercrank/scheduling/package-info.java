/** Decisions under load, without network, threads or clocks: the time is a parameter. */
package org.coriandercrank.scheduling;
