/** Choice of servers for services not divided by key. */
package org.coriandercrank.ingress.internal.balancing;
