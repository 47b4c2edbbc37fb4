/** The owner gate: the only path from the system to the local backend server. */
package org.coriandercrank.gate;
