/** Threads for duties, joined by bounded rings. */
package org.coriandercrank.kernel.concurrent;
