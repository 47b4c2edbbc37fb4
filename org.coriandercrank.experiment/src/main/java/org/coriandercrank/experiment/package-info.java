/** The program {@code crank-experiment}, which measures clusters of daemon processes on one machine. */
package org.coriandercrank.experiment;
