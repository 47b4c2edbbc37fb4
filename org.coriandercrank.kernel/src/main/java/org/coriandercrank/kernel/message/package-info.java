/** Typed messages between daemons. */
package org.coriandercrank.kernel.message;
