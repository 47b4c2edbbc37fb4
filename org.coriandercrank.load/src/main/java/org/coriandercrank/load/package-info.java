/** The load and measurement program {@code crank-load} and the checker of histories. */
package org.coriandercrank.load;
