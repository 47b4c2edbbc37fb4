/** Load balancing for unkeyed services. */
package org.coriandercrank.ingress.internal.balancing;
