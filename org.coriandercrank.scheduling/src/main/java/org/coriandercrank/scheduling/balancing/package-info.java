/** Choice of a backend server from load reports that are old, while many daemons choose at the same moment. */
package org.coriandercrank.scheduling.balancing;
