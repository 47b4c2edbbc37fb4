/** Callers' requests and answers inside the system. */
package org.coriandercrank.kernel.request;
