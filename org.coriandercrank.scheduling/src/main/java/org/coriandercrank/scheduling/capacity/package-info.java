/** How many requests a backend server can execute at present. */
package org.coriandercrank.scheduling.capacity;
