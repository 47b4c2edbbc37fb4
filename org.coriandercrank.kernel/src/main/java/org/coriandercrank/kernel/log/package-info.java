/** Structured log lines. */
package org.coriandercrank.kernel.log;
