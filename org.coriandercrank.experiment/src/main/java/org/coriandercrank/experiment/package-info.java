/**
 * The program {@code crank-experiment}, which measures idle clusters, placement and overload with real daemon processes
 * on one machine.
 */
package org.coriandercrank.experiment;
