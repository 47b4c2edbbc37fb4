/** The program {@code crank-experiment}: measures fleets of real daemon processes on one machine. */
package org.coriandercrank.experiment;
