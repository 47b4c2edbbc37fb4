/** The load generator {@code crank-load}, its reports and the checker of request histories. */
package org.coriandercrank.load;
