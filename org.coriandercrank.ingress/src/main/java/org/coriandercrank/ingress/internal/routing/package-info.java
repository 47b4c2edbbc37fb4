/** Routing of requests, attempts and their outcomes. */
package org.coriandercrank.ingress.internal.routing;
