/** Settings, commands and results of {@code crankctl}. */
package org.coriandercrank.ctl.internal;
