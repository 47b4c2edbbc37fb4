/** The daemon program {@code crankd}. */
package org.coriandercrank.daemon;
