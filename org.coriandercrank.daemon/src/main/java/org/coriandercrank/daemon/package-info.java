/** The program {@code crankd} and the components that other daemon programs share with it. */
package org.coriandercrank.daemon;
