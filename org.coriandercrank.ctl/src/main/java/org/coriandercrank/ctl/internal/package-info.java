/** Commands of {@code crankctl}; each is one class with a method {@code call}. */
package org.coriandercrank.ctl.internal;
