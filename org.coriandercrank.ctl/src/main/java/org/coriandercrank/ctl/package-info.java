/** The command line client {@code crankctl}, with which operators submit release notes and query the cluster. */
package org.coriandercrank.ctl;
