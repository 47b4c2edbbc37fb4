/** Experiments, sampling of daemons and of the store, and results computed from assignment tables and histories. */
package org.coriandercrank.experiment.internal;
