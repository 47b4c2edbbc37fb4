/** Assembly of the parts of a daemon. */
package org.coriandercrank.daemon.internal;
