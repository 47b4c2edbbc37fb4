/** Logging setup and rate-limited decision logs. */
package org.coriandercrank.kernel.log;
