/** Interfaces of placement and balancing policies. */
package org.coriandercrank.kernel.placement;
