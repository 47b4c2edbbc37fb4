/** The owner gate: the only component of a daemon that sends requests to the local backend server. */
package org.coriandercrank.gate;
