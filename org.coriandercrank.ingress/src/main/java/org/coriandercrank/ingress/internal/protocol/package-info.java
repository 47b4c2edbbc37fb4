/** Caller protocol: parsing of requests and rendering of answers. */
package org.coriandercrank.ingress.internal.protocol;
