/** Tests of the figures of experiments. */
package org.coriandercrank.experiment.internal;
