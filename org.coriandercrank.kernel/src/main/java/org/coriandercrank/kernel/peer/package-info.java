/** The interfaces of links between daemons. */
package org.coriandercrank.kernel.peer;
