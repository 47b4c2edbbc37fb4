/** Status of a daemon, for operators. */
package org.coriandercrank.kernel.status;
