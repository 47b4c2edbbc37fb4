/** Experiments, sampling of daemons and of the store, and figures from tables and histories. */
package org.coriandercrank.experiment.internal;
