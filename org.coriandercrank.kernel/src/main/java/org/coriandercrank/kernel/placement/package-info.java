/** Policies for placing ranges and for balancing requests. */
package org.coriandercrank.kernel.placement;
