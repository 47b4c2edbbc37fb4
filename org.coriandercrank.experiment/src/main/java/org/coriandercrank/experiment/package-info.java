/** The program {@code crank-experiment}: measures fleets, placement and overload of real daemon processes on one machine. */
package org.coriandercrank.experiment;
