/** Status of a daemon as operators see it. */
package org.coriandercrank.kernel.status;
