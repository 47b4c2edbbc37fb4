/** Planner, placement policies and the ownership of ranges by this daemon. */
package org.coriandercrank.placement;
