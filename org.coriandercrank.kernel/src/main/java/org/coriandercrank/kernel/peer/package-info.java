/** Interfaces for sending and handling messages between daemons. */
package org.coriandercrank.kernel.peer;
