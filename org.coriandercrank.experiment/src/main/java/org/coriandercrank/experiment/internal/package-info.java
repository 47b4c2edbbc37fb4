/** Sampling of daemons and of the store. */
package org.coriandercrank.experiment.internal;
