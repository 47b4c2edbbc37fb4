/** Requests of callers and their answers. */
package org.coriandercrank.kernel.request;
