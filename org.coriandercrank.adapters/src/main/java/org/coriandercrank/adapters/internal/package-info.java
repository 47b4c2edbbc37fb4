/** Internals of the HTTP adapters: mapping of responses, clock estimate, and URL encoding. */
package org.coriandercrank.adapters.internal;
