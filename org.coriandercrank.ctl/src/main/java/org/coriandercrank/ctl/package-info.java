/** The operator program {@code crankctl}: release notes and status. */
package org.coriandercrank.ctl;
