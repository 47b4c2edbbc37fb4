/** Messages between daemons. */
package org.coriandercrank.kernel.message;
