/** Tests of the results computed by experiments. */
package org.coriandercrank.experiment.internal;
